package gateway

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/fleet"
)

// placement is the choice of an upstream for an attempt.
type placement struct {
	// upstream is nil if none may take the attempt; roomAt is then when one has capacity, zero
	// if that is unknown.
	upstream *fleet.Upstream
	roomAt   time.Time
	spec     fleet.AttemptSpec
	// soak is set if the attempt is part of a soak above the usual load.
	soak *canary.Soak
}

// caller identifies the request to roll-outs.
func (j *job) caller() canary.Caller {
	return canary.Caller{Hash: j.affinityHash, Session: j.headers.Session != ""}
}

// minTrialUpstreams leaves a choice where one of the upstreams is slow.
const minTrialUpstreams = 4

// hasUpstream reports whether an upstream can take the job's next attempt.
func (n *Node) hasUpstream(j *job, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.place(j, n.canary.Rule(j.service, j.caller(), now), n.heldVersion(j.service, now), now).upstream != nil
}

// place chooses an upstream for the job's next attempt under a roll-out's rule and without a held
// version, empty for none; the caller holds mu.
func (n *Node) place(j *job, rule canary.Rule, held string, now time.Time) placement {
	p := placement{spec: j.attemptSpec(rule)}
	if held != "" && rule.Version != held {
		p.spec.ExcludedVersions = append(p.spec.ExcludedVersions, held)
	}
	if rule.UpstreamPart > 0 {
		ofVersion, _ := n.fleet.Count(j.service, rule.Version, now)
		p.spec.MaxUpstreams = max(minTrialUpstreams, int(rule.UpstreamPart*float64(ofVersion)+0.5))
	}
	p.soak = j.soakOf(rule)
	if p.soak != nil {
		n.limitToSoak(&p.spec, p.soak, now)
	}
	p.upstream = n.fleet.Choose(p.spec, now)
	if p.upstream == nil && p.soak != nil {
		p.spec.MaxUpstreams, p.spec.FirstUpstream = 0, 0
		p.upstream = n.fleet.Choose(p.spec, now)
	}
	if p.upstream == nil {
		p.roomAt, _ = n.fleet.NextAvailable(&p.spec, now)
	}
	if p.upstream == nil && rule.Version != "" && (p.roomAt.IsZero() || j.headers.Session == "") {
		// No upstream of the version can run the request, so any other allowed version is
		// used. A session waits instead when its own version is known to have capacity
		// later.
		p.spec.Version, p.spec.MaxUpstreams, p.spec.FirstUpstream = "", 0, 0
		p.upstream = n.fleet.Choose(p.spec, now)
	}
	if p.upstream == nil && j.retryAtTried() && n.fleet.IsPlain(j.service) {
		p.spec.Tried = nil
		p.upstream = n.fleet.Choose(p.spec, now)
	}
	return p
}
