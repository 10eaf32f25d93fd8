package balance

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/notice"
	"github.com/hickorybank/hickorybank/internal/pacing"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// host is what the balancer holds of one upstream. Times are since the
// balancer's base.
type host struct {
	vm    platform.VM
	hash  uint64
	local bool // in this node's failure domain
	// adopted says that it is beyond the subset, taken in for its versions.
	adopted bool
	// listed says that it is still among the node's upstreams.
	listed bool

	versions []string
	known    bool // versions are known from a report
	// lackedAt is when the engine last said that it lacks a version.
	lackedAt time.Duration

	domain    *domain
	inFlight  int
	isolated  int // requests that want to be alone here
	joined    time.Duration
	fullUntil time.Duration

	// limit is the rate limit that its latest answer named, read at limitAt; share is this
	// node's part of it.
	limit   notice.Limit
	limitAt time.Duration
	share   pacing.Share

	// restUntil is until when the upstream wants nothing from this node.
	restUntil time.Duration

	leavingByList bool
	leavingByWord bool
	leavingSince  time.Duration

	report  report
	hold    hold
	poll    pollState
	breaker breaker
	outlier outlier
}

func newHost(vm platform.VM, hash uint64, domain string) *host {
	return &host{vm: vm, hash: hash, local: vm.FailureDomain == domain}
}

func (h *host) leaving() bool { return h.leavingByList || h.leavingByWord }

// others is the load there that did not come from this node.
func (h *host) others(now time.Duration) float64 {
	return h.report.others.load(now, h.hold.mean())
}

// tier orders the upstreams that a request may be sent to; a later tier is
// used only when all earlier ones are empty.
type tier int

const (
	// tierGood: nothing speaks against it.
	tierGood tier = iota
	// tierSlow: slow but alive, full a moment ago, or in a failure domain
	// that seems to be lost.
	tierSlow
	// tierIsolated: a request runs there that wants to be alone.
	tierIsolated
	tiers
)

// usable says whether new work of the tier may go there.
func (h *host) usable(now time.Duration, t tier) bool {
	if !h.listed || h.leaving() || !h.breaker.allows(now) {
		return false
	}
	if t < tierIsolated && h.isolated > 0 {
		return false
	}
	if t >= tierSlow {
		return true
	}
	return now >= h.fullUntil && !h.outlier.ejected(now) && !h.domain.doubtful(now)
}

// leaves notes the upstream's own word that it takes no new work.
func (h *host) leaves(now time.Duration) {
	h.leavingByWord = true
	h.leavingSince = now
}

// stays takes back that word. A report from before the word says nothing.
func (h *host) stays(at time.Duration) {
	if h.leavingByWord && at > h.leavingSince {
		h.leavingByWord = false
	}
}

// leastStartWeight is the weight of an upstream that has just joined.
const leastStartWeight = 0.1

// startWeight grows to 1 over the slow start of a new upstream.
//
// It guards against a new upstream's being flooded: it has the least load of
// all, its caches are cold, and every node would send it its next request.
func (h *host) startWeight(now, slowStart time.Duration) float64 {
	age := now - h.joined
	if age >= slowStart {
		return 1
	}
	return max(leastStartWeight, float64(age)/float64(slowStart))
}
