package fleet

import (
	"slices"
	"time"
)

// Candidate is an upstream that [Fleet.Choose] compares for an attempt.
type Candidate struct {
	Upstream *Upstream
	// Affinity is set for an upstream that requests with the same last prefix block go to.
	Affinity bool
	Estimate Estimate
	// Ages is what the estimate rests on.
	Ages CandidateAges
}

// CandidateAges are the ages of what a node knows of an upstream; negative if it knows nothing.
type CandidateAges struct {
	// LoadReport is the age of the upstream's own load report, Machine that of the report of
	// its machine.
	LoadReport, Machine time.Duration
	// SpeedWeight is the weight of the evidence of its speed, in observed streams.
	SpeedWeight float64
}

// ExcludedUpstreams counts the upstreams of a service that are not compared, for one reason.
type ExcludedUpstreams struct {
	Reason Exclusion
	Count  int
	// Until is when the first of them is available again; zero if that is unknown.
	Until time.Time
}

// Explanation is how [Fleet.Choose] decides on an attempt.
type Explanation struct {
	// Chosen is the upstream that Choose returns; nil for none.
	Chosen *Upstream
	// Unconfirmed is set if it is chosen only to confirm its rate limit.
	Unconfirmed bool
	// Candidates are the compared upstreams, the cheapest first.
	Candidates []Candidate
	// Excluded are the service's other upstreams, by reason.
	Excluded []ExcludedUpstreams
	// UnitTime is the typical wait for a unit of work; 0 if unknown.
	UnitTime time.Duration
	// InFlightAge is the age of other nodes' in-flight counts; negative before the first.
	InFlightAge time.Duration
}

// Explain returns how Choose decides on the attempt. It changes nothing. Its cost grows with
// the service's upstreams.
func (f *Fleet) Explain(spec AttemptSpec, now time.Time) Explanation {
	var e Explanation
	f.Inspect(spec.Service, func() { e = f.explain(spec, now) })
	return e
}

func (f *Fleet) explain(spec AttemptSpec, now time.Time) Explanation {
	e := Explanation{Chosen: f.Choose(spec, now), UnitTime: f.unitTime(&spec), InFlightAge: -1}
	if f.flights.number > 0 {
		e.InFlightAge = now.Sub(f.flights.at)
	}
	considered, affinity, unconfirmed := f.considered(&spec, now, nil, nil)
	e.Unconfirmed = unconfirmed != nil
	var compared []*Upstream
	for _, u := range considered {
		if slices.Contains(compared, u) {
			continue // found in more than one way
		}
		compared = append(compared, u)
		e.Candidates = append(e.Candidates, Candidate{
			Upstream: u, Affinity: slices.Contains(affinity, u), Estimate: f.estimate(u, &spec, affinity, now), Ages: f.ages(u, now),
		})
	}
	slices.SortStableFunc(e.Candidates, func(a, b Candidate) int {
		if d := a.Estimate.Total() - b.Estimate.Total(); d != 0 {
			if d < 0 {
				return -1
			}
			return 1
		}
		return 0
	})
	e.Excluded = f.excluded(&spec, now, compared)
	return e
}

// unitTime returns the typical wait of the spec's group for a unit of work; 0 if unknown.
func (f *Fleet) unitTime(spec *AttemptSpec) time.Duration {
	d := f.waitEstimates[workloadKey{spec.Service, spec.Model}]
	if d == nil {
		return 0
	}
	return time.Duration(d.perUnit * float64(time.Second))
}

func (f *Fleet) ages(u *Upstream, now time.Time) CandidateAges {
	a := CandidateAges{LoadReport: -1, Machine: -1}
	if !u.loadReportedAt.IsZero() {
		a.LoadReport = now.Sub(u.loadReportedAt)
	}
	_, _, weight, age, known := f.Slowness(u, now)
	if known && !u.speed.machineAt.IsZero() {
		a.Machine = age
	}
	a.SpeedWeight = weight
	return a
}

// excluded counts the service's upstreams that were not compared.
func (f *Fleet) excluded(spec *AttemptSpec, now time.Time, compared []*Upstream) []ExcludedUpstreams {
	var counts [NotSampled + 1]ExcludedUpstreams
	var part []*Upstream
	if spec.MaxUpstreams > 0 {
		part = f.pool(spec, now).sorted()
	}
	for _, u := range f.services[spec.Service].all() {
		if slices.Contains(compared, u) {
			continue
		}
		reason := f.exclusion(u, spec, now)
		if reason == NotExcluded {
			reason = NotSampled
			if spec.MaxUpstreams > 0 && !slices.Contains(part, u) {
				reason = OutsidePart
			}
		}
		c := &counts[reason]
		c.Reason = reason
		c.Count++
		if until := f.excludedUntil(u, reason, now); !until.IsZero() && (c.Until.IsZero() || until.Before(c.Until)) {
			c.Until = until
		}
	}
	return slices.DeleteFunc(counts[:], func(c ExcludedUpstreams) bool { return c.Count == 0 })
}

// excludedUntil returns when the reason ends; zero if that is unknown.
func (f *Fleet) excludedUntil(u *Upstream, reason Exclusion, now time.Time) time.Time {
	switch reason {
	case Gone:
		return u.goneUntil
	case Ejected:
		return u.ejectedUntil
	case BackedOff:
		return u.backoffUntil()
	case RateBound:
		return f.nextAllowed(u, now)
	}
	return time.Time{}
}
