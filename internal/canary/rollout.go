package canary

import "time"

// Answer is one ended attempt.
type Answer struct {
	Service, Version, Route, Model string
	// Failed answers were failures of the upstream or broke off.
	Failed bool
	// Pace is the mean delay of the answer's parts; 0 if not known.
	Pace time.Duration
}

// rollout is one order and its evidence.
type rollout struct {
	order   Order
	started time.Time
	own     Tally
	counts  map[string]*RouteCount
	peers   map[runKey]Tally
	tests   map[string]*evidence
	verdict Verdict
	// written is set when the platform's table holds the verdict.
	written bool
	grown   time.Time // when the share began to grow; zero in the watch
}

// runKey names one run of a node.
type runKey struct {
	node string
	born int64
}

func (r *rollout) count(route string) *RouteCount {
	c := r.counts[route]
	if c == nil {
		c = &RouteCount{Route: route}
		r.counts[route] = c
	}
	return c
}

// total sums the counts of all nodes for each route.
func (r *rollout) total() map[string]RouteCount {
	sum := map[string]RouteCount{}
	add := func(c RouteCount) {
		t := sum[c.Route]
		t.Route = c.Route
		t.New += c.New
		t.NewBad += c.NewBad
		t.Base += c.Base
		t.BaseBad += c.BaseBad
		sum[c.Route] = t
	}
	for _, c := range r.counts {
		add(*c)
	}
	for _, t := range r.peers {
		for _, c := range t.Routes {
			add(c)
		}
	}
	return sum
}

// share is the part of the sessions that goes to the new version.
func (r *rollout) share(s Settings, now time.Time) float64 {
	switch {
	case r.verdict == Completed:
		return 1
	case r.verdict == RolledBack:
		return 0
	case r.grown.IsZero():
		return s.ShareBound * canaryPart
	default:
		return growth[min(int(now.Sub(r.grown)/step), len(growth)-1)]
	}
}

// watched tells whether the watch is over.
func (r *rollout) watched(now time.Time) bool {
	return now.Sub(r.started) >= time.Duration(watchPart*float64(r.order.Limit))+settle
}

// answers is how many answers of the new version all nodes have seen.
func (r *rollout) answers() int64 {
	var n int64
	for _, c := range r.total() {
		n += c.New
	}
	return n
}

// oldInFlight is how much work all nodes have on the old version.
func (r *rollout) oldInFlight() int {
	n := r.own.OldInFlight
	for _, t := range r.peers {
		n += t.OldInFlight
	}
	return n
}

// done tells whether everybody has had time to hear of the verdict.
func (r *rollout) done(now time.Time) bool {
	return r.verdict != Open && r.written && now.Sub(r.started) > r.order.Limit+doneAfter
}
