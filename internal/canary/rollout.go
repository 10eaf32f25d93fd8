package canary

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/revision"
)

// rollout is one order and the evidence on its version.
type rollout struct {
	order Order
	// former are the order's earlier revisions.
	former  []revision.Revision
	started time.Time
	// observedSince is since when this node counts requests.
	observedSince time.Time
	own           Tally
	counts        map[string]*RouteCount
	peers         map[runKey]Tally
	tests         map[string]*routeEvidence
	// running are this node's unfinished attempts on the new version. cut are the grades that
	// those ended early had reached, by route.
	running map[*Attempt]struct{}
	cut     map[string]*[measures]DelayCounts
	// allRoutes is the evidence from the delays of all routes.
	allRoutes routeEvidence
	verdict   Verdict
	// written is set when the platform's table holds the verdict.
	written bool
	// awaitsVerdict is set if this node learned of the order only after its limit; awaitedSince
	// is when it first evaluated the order.
	awaitsVerdict bool
	awaitedSince  time.Time
	// listedSince is since when upstreams of the version are listed, othersListed is set once upstreams of
	// others were.
	listedSince  time.Time
	othersListed bool
	// plain is set if the service runs no models, so that its upstreams have no caches to warm.
	plain bool
	// widenedShare is the share of the sessions in the trial since more of them take part; 0
	// before.
	widenedShare float64
	// shiftedAt is when the shift of all sessions began; zero before.
	shiftedAt time.Time
	// atShift are the counts by route at the shift; nil before this node evaluated it.
	atShift map[string]RouteCount
}

// runKey identifies one run of a node.
type runKey struct {
	node string
	born int64
}

// count returns this node's counts of the route; it adds them if they are missing.
func (r *rollout) count(route string) *RouteCount {
	c := r.counts[route]
	if c == nil {
		c = &RouteCount{Route: route}
		r.counts[route] = c
	}
	return c
}

// total sums the counts of all nodes for each route.
func (r *rollout) total() map[string]*RouteCount {
	sum := map[string]*RouteCount{}
	add := func(c *RouteCount) {
		t := sum[c.Route]
		if t == nil {
			t = &RouteCount{Route: c.Route}
			sum[c.Route] = t
		}
		t.merge(c)
	}
	for _, c := range r.counts {
		add(c)
	}
	for _, t := range r.peers {
		for i := range t.Routes {
			add(&t.Routes[i])
		}
	}
	return sum
}

// share is the part of the sessions that goes to the new version.
func (r *rollout) share(s Settings, now time.Time) float64 {
	switch {
	case r.verdict == Completed:
		return 1
	case r.verdict == RolledBack || r.awaitsVerdict:
		return 0
	case r.shiftedAt.IsZero() && r.widenedShare == 0:
		return s.ShareBound * canaryPart
	case r.shiftedAt.IsZero():
		return r.widenedShare
	case now.Sub(r.shiftedAt) < halfTime && !r.plain:
		return 0.5
	default:
		return 1
	}
}

// deadline is when the verdict has to be reached, so that it is recorded within the
// limit.
func (r *rollout) deadline(s Settings) time.Time {
	return r.started.Add(r.order.Limit - r.order.Late - s.Lag - recordMargin)
}

// soakTime is how long all sessions go to the version before it is completed, if the time limit
// leaves as much.
func (r *rollout) soakTime() time.Duration {
	if r.plain {
		return plainSoakTime
	}
	return soakTime
}

// soakEnd is when the verdict on a version that all sessions go to has to be reached. The soak of
// a plain service's version may go on longer if it is as quick and its shift left time for a soak.
func (r *rollout) soakEnd(s Settings, asQuick float64) time.Time {
	end := r.deadline(s)
	if !r.plain || asQuick < quickThreshold || r.shiftedAt.After(end) {
		return end
	}
	return end.Add(soakGrace)
}

// mayShift reports whether all sessions may go to the new version now. Sessions must be
// free to change their version, and the requests that the version gets until the time
// limit must stay within the bound even if it turns out bad.
func (r *rollout) mayShift(s Settings, now time.Time) bool {
	age := now.Sub(r.started)
	if r.sessionsFixed(now) || age <= 0 {
		return false
	}
	_, exposed := r.exposure()
	rate := r.rate(now)
	remaining := max((r.order.Limit - age).Seconds(), 0)
	return exposed+rate*remaining <= shiftPart*r.bound(s, rate)
}

// shouldWiden reports whether the trial is heading for too few answers for a verdict, so
// that more sessions have to take part.
//
// It guards deployments with few requests: a fixed small share gave too few answers to
// trust a good version, and it was rolled back. The share grows only after sessions may
// change their version. From then on it never shrinks, so that no session returns to the
// old version.
func (r *rollout) shouldWiden(now time.Time, answers int64, asQuick float64) bool {
	if r.widenedShare > 0 || !r.shiftedAt.IsZero() || now.Sub(r.started) < time.Duration(widenPart*float64(r.order.Limit)) {
		return false
	}
	began := later(r.started.Add(trialDelay), r.countedSince())
	if r.lostTime() > 0 && now.Sub(began) < minRateTime {
		return false // the rate of requests is not known yet
	}
	elapsed := now.Sub(began).Seconds()
	duration := r.started.Add(r.order.Limit).Sub(began).Seconds()
	few := float64(answers)*duration < minAnswers*elapsed
	return few || asQuick >= 0 && asQuick < quickThreshold || r.isAnyRouteUnclear()
}

// isAnyRouteUnclear reports whether a route's delays leave open whether it is slower.
func (r *rollout) isAnyRouteUnclear() bool {
	for _, test := range r.tests {
		for m := range measures {
			if test.delays[m].likelihood() >= unclearThreshold {
				return true
			}
		}
	}
	return false
}

// widened returns the share of the sessions that the trial may have from now on.
func (r *rollout) widened(s Settings, now time.Time) float64 {
	share := r.share(s, now)
	requests, exposed := r.exposure()
	attempts := float64(r.own.Attempts)
	for _, t := range r.peers {
		attempts += float64(t.Attempts)
	}
	attemptRate := r.rate(now) * max(attempts/max(requests, 1), 1)
	// Requests of which the counts are lost leave room for sessions that send more than others.
	lost := (1 - capPart) * s.ShareBound * r.rate(now) * r.lostTime().Seconds()
	free := r.trialBound(s, now) - exposed - lost
	until := r.deadline(s).Sub(now).Seconds()
	return max(share, min(widenedPart*free/(attemptRate*until), maxWidenedShare))
}

// trialBound returns how many requests the version may get in its trial. The rest of the bound
// is for the time between the shift of all sessions and the time limit.
func (r *rollout) trialBound(s Settings, now time.Time) float64 {
	rate := r.rate(now)
	afterShift := rate * (r.order.Limit - r.deadline(s).Sub(r.started)).Seconds()
	return shiftPart*r.bound(s, rate) - afterShift
}

// minRateTime is how long requests are counted before their rate is known, where earlier counts are
// lost.
const minRateTime = 1500 * time.Millisecond

// minLostTime is how much later than the order counts begin if those from before are lost.
const minLostTime = time.Second

// observe records that this node counts requests.
func (r *rollout) observe(now time.Time) {
	if r.observedSince.IsZero() {
		r.observedSince = now
	}
}

// countedSince returns since when the known counts cover the service's requests: since the order,
// unless all nodes that were running then are lost.
func (r *rollout) countedSince() time.Time {
	if r.observedSince.Sub(r.started) < minLostTime {
		return r.started
	}
	for run := range r.peers {
		if time.Unix(0, run.born).Before(r.started) {
			return r.started
		}
	}
	return r.observedSince
}

// lostTime returns the time since the order of which the counts are lost.
func (r *rollout) lostTime() time.Duration { return r.countedSince().Sub(r.started) }

// rate returns the service's requests a second since the order, as far as they are counted.
func (r *rollout) rate(now time.Time) float64 {
	requests, _ := r.exposure()
	return max(requests, 1) / max(now.Sub(r.countedSince()).Seconds(), 0.1)
}

// bound returns how many requests the version may get until the time limit at a rate of requests
// a second, less those that a trial may have used of which the counts are lost.
func (r *rollout) bound(s Settings, rate float64) float64 {
	bound := s.ShareBound*rate*r.order.Limit.Seconds() + s.Slack
	if lost := r.lostTime(); lost > 0 {
		bound -= s.ShareBound*capPart*rate*lost.Seconds() + slackPart*s.Slack
	}
	return bound
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sessionsFixed reports whether no session may change its version yet.
func (r *rollout) sessionsFixed(now time.Time) bool {
	return now.Sub(r.started) < time.Duration(fixedPart*float64(r.order.Limit))
}

// exposure sums the requests of all nodes since the order, and those that went to the new
// version.
func (r *rollout) exposure() (requests, exposed float64) {
	requests, exposed = float64(r.own.Requests), float64(r.own.Exposed)
	for _, t := range r.peers {
		requests += float64(t.Requests)
		exposed += float64(t.Exposed)
	}
	return requests, exposed
}

// oldInFlight is how many attempts run on the old version at all nodes.
func (r *rollout) oldInFlight() int {
	n := r.own.OldInFlight
	for _, t := range r.peers {
		n += t.OldInFlight
	}
	return n
}

// expired reports whether all nodes have had time to learn of the recorded verdict.
func (r *rollout) expired(now time.Time) bool {
	return r.verdict != Open && r.written && now.Sub(r.started) > r.order.Limit+reportTime
}
