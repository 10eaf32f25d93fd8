package gateway

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/fleet"
)

// soakOf returns the soak that limits the upstreams of the job's requests under a rule; nil for
// none.
func (j *job) soakOf(rule canary.Rule) *canary.Soak {
	if !j.isPlain() {
		return nil
	}
	return rule.Soak
}

// awaitSoakBatch waits until the requests of a plain service are sent together to a new version
// that all sessions go to and that has no verdict yet.
func (j *job) awaitSoakBatch() {
	n := j.node
	now := time.Now()
	n.mu.Lock()
	soak := j.soakOf(n.canary.Preview(j.service, j.caller(), now))
	n.mu.Unlock()
	if soak != nil {
		pause(j.ctx, soak.BatchWait(j.route.LatencyGoal)) // the next attempt finds out if the caller has left
	}
}

// limitToSoak limits an attempt to the upstreams that serve in a soak; the caller holds mu.
func (n *Node) limitToSoak(spec *fleet.AttemptSpec, soak *canary.Soak, now time.Time) {
	ofVersion, all := n.fleet.Count(spec.Service, spec.Version, now)
	if ofVersion == 0 {
		return
	}
	// The old version's last requests count as well: the new one will have as many.
	use := n.fleet.ServiceLoad(spec.Service, "", now) * float64(all) / float64(ofVersion)
	spec.MaxUpstreams, spec.FirstUpstream = soak.Upstreams(ofVersion, use)
}
