package balance

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/notice"
	"github.com/hickorybank/hickorybank/internal/pacing"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// host is the state of one upstream. Times are offsets from the balancer's base.
type host struct {
	vm    platform.VM
	hash  uint64
	local bool // in this node's failure domain
	// extra is set for an upstream outside the subset that was added for its versions.
	extra bool
	// listed is set while the upstream is in the subset or an extra.
	listed bool

	versions      []string
	versionsKnown bool // versions come from a report
	// versionMissingAt is when the engine last answered that it lacks a version.
	versionMissingAt time.Duration

	domain           *domain
	inFlight         int
	isolatedInFlight int // isolated requests in flight here
	joinedAt         time.Duration
	declinedUntil    time.Duration

	// rateLimit is the rate limit that the latest response advertised, read at rateLimitAt.
	// rateShare is this node's share of it.
	rateLimit   notice.Limit
	rateLimitAt time.Duration
	rateShare   pacing.Share

	// backoffUntil is the end of the back-off that the upstream requested from this node.
	backoffUntil time.Duration

	leavingByPlatform bool
	leavingByReport   bool
	leavingReportedAt time.Duration

	report    report
	durations durationMean
	poll      pollState
	breaker   breaker
	outlier   outlier
}

func newHost(vm platform.VM, hash uint64, domain string) *host {
	return &host{vm: vm, hash: hash, local: vm.FailureDomain == domain}
}

func (h *host) leaving() bool { return h.leavingByPlatform || h.leavingByReport }

// otherLoad estimates the load on the host that did not come from this node.
func (h *host) otherLoad(now time.Duration) float64 {
	return h.report.otherLoad.estimate(now, h.durations.weightedMean())
}

// tier ranks upstreams by how suitable they are. A later tier is used only when all
// earlier ones are empty.
type tier int

const (
	// tierPreferred: no known problem.
	tierPreferred tier = iota
	// tierDegraded: ejected, recently full, or in a degraded failure domain.
	tierDegraded
	// tierIsolated: an isolated request is in flight there.
	tierIsolated
	tierCount
)

// usable reports whether the host may get new work of the tier.
func (h *host) usable(now time.Duration, t tier) bool {
	if !h.listed || h.leaving() || !h.breaker.allowsRequest(now) {
		return false
	}
	if t < tierIsolated && h.isolatedInFlight > 0 {
		return false
	}
	if t >= tierDegraded {
		return true
	}
	return now >= h.declinedUntil && !h.outlier.ejected(now) && !h.domain.degraded(now)
}

// markLeaving records the upstream's announcement that it takes no new work.
func (h *host) markLeaving(now time.Duration) {
	h.leavingByReport = true
	h.leavingReportedAt = now
}

// clearLeaving revokes the announcement, unless the report is older than it.
func (h *host) clearLeaving(at time.Duration) {
	if h.leavingByReport && at > h.leavingReportedAt {
		h.leavingByReport = false
	}
}

// minSlowStartWeight is the weight of an upstream that has just joined.
const minSlowStartWeight = 0.1

// slowStartWeight returns the weight of the host's capacity, which grows to 1 during slow
// start.
//
// Slow start prevents a new upstream from being flooded. It has the least load and cold
// caches, and otherwise every node would send it its next request.
func (h *host) slowStartWeight(now, slowStart time.Duration) float64 {
	age := now - h.joinedAt
	if age >= slowStart {
		return 1
	}
	return max(minSlowStartWeight, float64(age)/float64(slowStart))
}
