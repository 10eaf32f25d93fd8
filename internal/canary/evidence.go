package canary

import (
	"math"
	"time"
)

// evidence is a sequential test of one route's answers: it sums the log
// likelihood of "worse by excess" against "as the old version", and never
// falls below zero, so that a version that turns bad late is found as fast.
type evidence struct {
	seen       RouteCount
	base, bad  float64 // the old version's recent answers
	ratedAt    time.Time
	likelihood float64
	// overAt is when the likelihood last rose over the mark at which a version
	// counts as bad; zero while it is below.
	overAt time.Time
}

// add takes the counts so far and the time.
func (e *evidence) add(c RouteCount, now time.Time) {
	if !e.ratedAt.IsZero() {
		f := math.Exp2(-float64(now.Sub(e.ratedAt)) / float64(baseHalfLife))
		e.base *= f
		e.bad *= f
	}
	e.ratedAt = now
	e.base += float64(max(c.Base-e.seen.Base, 0))
	e.bad += float64(max(c.BaseBad-e.seen.BaseBad, 0))
	bad := float64(max(c.NewBad-e.seen.NewBad, 0))
	good := max(float64(max(c.New-e.seen.New, 0))-bad, 0)
	e.seen = c
	usual := min(max((e.bad+usualAnswers*longRun(c))/(e.base+usualAnswers), leastBase), mostBase)
	worse := usual + excess*(1-usual)
	e.likelihood += bad*math.Log(worse/usual) + good*math.Log((1-worse)/(1-usual))
	e.likelihood = max(e.likelihood, 0)
	switch {
	case e.likelihood < convictAt:
		e.overAt = time.Time{}
	case e.overAt.IsZero():
		e.overAt = now
	}
}

// convicts tells whether the version counts as bad.
//
// It guards against upstreams that crash: they take all their answers with them
// in one moment, which is no evidence against their version. A bad version goes
// on failing, so that the likelihood stays where it is; the good answers of a
// second take it down again otherwise. Where most answers are bad, and once all
// sessions go to the version, nothing is waited for.
func (e *evidence) convicts(now time.Time, trial bool) bool {
	if e.overAt.IsZero() {
		return false
	}
	return !trial || 2*e.seen.NewBad > e.seen.New || now.Sub(e.overAt) >= persistFor
}

// longRun is the old version's share of bad answers since the order, pulled
// towards a tenth while there are few.
func longRun(c RouteCount) float64 {
	return (float64(c.BaseBad) + 1) / (float64(c.Base) + 10)
}

// mostBase bounds what is taken for usual: beyond it nothing could be told.
const mostBase = 0.7
