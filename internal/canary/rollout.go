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
	// widened is when more sessions began to take part in the trial; zero before.
	widened time.Time
	// grown is when all sessions began to be shifted; zero in the watch.
	grown time.Time
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
	case r.grown.IsZero() && r.widened.IsZero():
		return s.ShareBound * canaryPart
	case r.grown.IsZero():
		return s.ShareBound * widePart
	case now.Sub(r.grown) < halfFor:
		return 0.5
	default:
		return 1
	}
}

// end is when the verdict should be recorded.
func (r *rollout) end(s Settings) time.Time {
	return r.started.Add(r.order.Limit - r.order.Late - s.Lag - recordTime)
}

// mayShift tells whether all sessions may go to the new version now: the watch
// is over, and the requests that it will have had by the time limit stay
// within the bound even if it turns out bad.
func (r *rollout) mayShift(s Settings, now time.Time) bool {
	age := now.Sub(r.started)
	if r.watched(now) || age <= 0 {
		return false
	}
	requests, exposed := r.exposure()
	rate := requests / age.Seconds()
	left := max((r.order.Limit - age).Seconds(), 0)
	bound := s.ShareBound*rate*r.order.Limit.Seconds() + s.Slack
	return exposed+rate*left <= shiftPart*bound
}

// shouldWiden tells whether the trial is heading for too few answers for a verdict, and
// more sessions may take part.
//
// It guards against deployments with few requests: a fixed small share gave too few
// answers to trust a good version, and it was rolled back. No session may change its
// version before the watch is over; afterwards the share only grows, so that none turns
// back.
func (r *rollout) shouldWiden(now time.Time, answers int64) bool {
	if !r.widened.IsZero() || !r.grown.IsZero() || now.Sub(r.started) < time.Duration(widenPart*float64(r.order.Limit)) {
		return false
	}
	so := (now.Sub(r.started) - pinHold).Seconds()
	whole := (r.order.Limit - pinHold).Seconds()
	return float64(answers)*whole < leastAnswers*so
}

// watched tells whether no session may change its version yet.
func (r *rollout) watched(now time.Time) bool {
	return now.Sub(r.started) < time.Duration(watchPart*float64(r.order.Limit))
}

// exposure sums the requests of all nodes since the order, and those that went
// to the new version.
func (r *rollout) exposure() (requests, exposed float64) {
	requests, exposed = float64(r.own.Requests), float64(r.own.Exposed)
	for _, t := range r.peers {
		requests += float64(t.Requests)
		exposed += float64(t.Exposed)
	}
	return requests, exposed
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
