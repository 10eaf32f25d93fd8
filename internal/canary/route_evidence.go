package canary

import "time"

// routeEvidence is the evidence from one route's answers, or from all routes together.
type routeEvidence struct {
	failures evidence
	delays   [measures]delayEvidence
	// slowAlarms are raised while a measure's evidence is above slowRollbackThreshold.
	slowAlarms [measures]alarm
	// handicap is added to the thresholds of the log likelihood ratio: the logarithm of the number
	// of routes, so that the chance of a false alarm is that of one test.
	handicap float64
}

// alarm tells since when a value has been above its threshold.
type alarm struct{ since time.Time }

func (a *alarm) set(above bool, now time.Time) {
	switch {
	case !above:
		a.since = time.Time{}
	case a.since.IsZero():
		a.since = now
	}
}

// isConfirmed reports whether the alarm counts. Without a wait, a burst of bad answers at one moment
// would decide; mostly is set if most answers are bad, trial until all sessions are shifted.
func (a *alarm) isConfirmed(now time.Time, trial, mostly bool) bool {
	if a.since.IsZero() {
		return false
	}
	return !trial || mostly || now.Sub(a.since) >= persistTime
}

// addDelays takes the counts of the delays up to now.
func (e *routeEvidence) addDelays(c RouteCount, now time.Time, all *addedDelays) {
	for m := range measures {
		added, unfinished := e.delays[m].add(c.Delays[m], now)
		all.added[m].add(added)
		all.unfinished[m].add(unfinished)
		e.slowAlarms[m].set(e.delays[m].rejects(e.handicap), now)
	}
}

// addedDelays is what all routes' delays add to the evidence.
type addedDelays struct{ added, unfinished [measures]slowdownScores }

// sumDelays adds what the routes' delays add to the evidence of all routes.
func (e *routeEvidence) sumDelays(all *addedDelays, now time.Time) {
	for m := range measures {
		e.delays[m].sum(all.added[m], all.unfinished[m])
		e.slowAlarms[m].set(e.delays[m].rejects(e.handicap), now)
	}
}

// rejectsDelays reports whether the version counts as too slow.
func (e *routeEvidence) rejectsDelays(c RouteCount, now time.Time, trial bool) bool {
	for m := range measures {
		n := c.Delays[m].New
		if e.slowAlarms[m].isConfirmed(now, trial, 2*n.slow() > n.total()) {
			return true
		}
	}
	return false
}

// doubtsDelays reports whether the version may be too slow.
func (e *routeEvidence) doubtsDelays() bool {
	return e.delays[Wait].doubts(e.handicap) || e.delays[Pace].doubts(e.handicap)
}

// worstDelay returns the measure with the most evidence against the version.
func (e *routeEvidence) worstDelay() (m Measure, likelihood float64) {
	for i := range measures {
		if v := e.delays[i].likelihood(); v > likelihood {
			m, likelihood = i, v
		}
	}
	return m, likelihood
}

// becameSlow returns the first measure by which the version may be slow now, regardless of its
// earlier answers; ok is false if there is none.
func (e *routeEvidence) becameSlow() (m Measure, ok bool) {
	for i := range measures {
		if e.delays[i].becameSlow() >= lateDoubtThreshold {
			return i, true
		}
	}
	return 0, false
}

// asQuick returns the log likelihood ratio of "as quick as the old version" against the
// likeliest slowdown.
func (e *routeEvidence) asQuick() float64 {
	var all slowdownScores
	for m := range measures {
		all.add(e.delays[m].total)
		all.add(e.delays[m].unfinished)
	}
	return -all.max()
}
