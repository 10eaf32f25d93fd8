package canary

import (
	"math"
	"time"
)

// evidence is a sequential test (CUSUM) of one route's answers. It sums the log
// likelihood ratio of "worse than the old version by excess" against "as good as the old
// version". The sum never falls below zero, so that a version that turns bad late is
// found as fast.
type evidence struct {
	counted              RouteCount
	baseAnswers, baseBad float64 // the old version's recent answers, decayed with baseHalfLife
	decayedAt            time.Time
	likelihood           float64
	alarm                alarm
}

// add takes the counts up to now.
func (e *evidence) add(c RouteCount, now time.Time) {
	if !e.decayedAt.IsZero() {
		decay := math.Exp2(-float64(now.Sub(e.decayedAt)) / float64(baseHalfLife))
		e.baseAnswers *= decay
		e.baseBad *= decay
	}
	e.decayedAt = now
	e.baseAnswers += float64(max(c.Base-e.counted.Base, 0))
	e.baseBad += float64(max(c.BaseBad-e.counted.BaseBad, 0))
	bad := float64(max(c.NewBad-e.counted.NewBad, 0))
	good := max(float64(max(c.New-e.counted.New, 0))-bad, 0)
	e.counted = c
	baseline := min(max((e.baseBad+priorAnswers*longRunBadShare(c))/(e.baseAnswers+priorAnswers), minBaseBadShare), maxBaseBadShare)
	worse := baseline + excess*(1-baseline)
	e.likelihood += bad*math.Log(worse/baseline) + good*math.Log((1-worse)/(1-baseline))
	e.likelihood = max(e.likelihood, 0)
	e.alarm.set(e.likelihood >= rollbackThreshold, now)
}

// rejects reports whether the version counts as bad; trial is set until all sessions are
// shifted.
//
// It prevents rejections because of upstreams that crash: all their running answers fail
// in one moment, which is no evidence against their version. A bad version goes on
// failing and the likelihood stays high; otherwise the good answers of the next second
// lower it again. There is no wait once most answers are bad, or once all sessions go to
// the version.
func (e *evidence) rejects(now time.Time, trial bool) bool {
	return e.alarm.isConfirmed(now, trial, 2*e.counted.NewBad > e.counted.New)
}

// longRunBadShare is the old version's share of bad answers since the order, pulled
// towards one in ten while there are few answers.
func longRunBadShare(c RouteCount) float64 {
	return (float64(c.BaseBad) + 1) / (float64(c.Base) + 10)
}

// maxBaseBadShare bounds the old version's share of bad answers in the test: above it the
// two hypotheses can no longer be told apart.
const maxBaseBadShare = 0.7
