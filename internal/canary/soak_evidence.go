package canary

import (
	"maps"
	"math"
	"slices"
)

// soakScores holds the log likelihood ratio for each of the soakExcesses.
type soakScores [len(soakExcesses)]float64

// soakExcesses are the increases in the share of bad answers, each as likely, that the test of the
// soak looks for.
var soakExcesses = [...]float64{0.05, 0.1, 0.2}

const (
	// soakThreshold is the log likelihood ratio at which a version is not completed: at most one
	// good version in twenty reaches it if the old version's share of bad answers is known.
	soakThreshold = 3.0
	// maxSoakBadShare is the old version's share of bad answers up to which the test applies.
	// Usual failures come in clusters, as callers and nodes repeat what failed.
	maxSoakBadShare = 0.05
	// soakPriorAnswers and soakPriorBad are the old version's assumed answers before any is known.
	soakPriorAnswers = 100
	soakPriorBad     = 1
)

// scoreSoak compares a route's answers since the shift, before which c held atShift, with the old
// version's answers since the order: "fails more often" against "as often".
func scoreSoak(c, atShift *RouteCount) (scores soakScores) {
	usual := (float64(c.BaseBad) + soakPriorBad) / (float64(c.Base) + soakPriorAnswers)
	if usual > maxSoakBadShare {
		return scores
	}
	bad := float64(max(c.NewBad-atShift.NewBad, 0))
	good := max(float64(c.New-atShift.New)-bad, 0)
	for i, excess := range soakExcesses {
		worse := usual + excess*(1-usual)
		scores[i] = bad*math.Log(worse/usual) + good*math.Log((1-worse)/(1-usual))
	}
	return scores
}

// mixture returns the logarithm of the mean likelihood ratio.
func (s soakScores) mixture() float64 {
	sum := 0.0
	for _, v := range s {
		sum += math.Exp(v)
	}
	return math.Log(sum / float64(len(s)))
}

// beginSoak records the counts at the shift.
func (r *rollout) beginSoak() {
	r.atShift = map[string]RouteCount{}
	for route, c := range r.total() {
		r.atShift[route] = *c
	}
}

// failsInSoak reports whether the answers since the shift speak against the version, on one route
// or on all, and notes the strongest evidence.
func (r *rollout) failsInSoak(d *Decision) bool {
	totals := r.total()
	// Each route is a test of its own: together they have the chance of a false alarm of one.
	handicap := math.Log(float64(max(len(totals), 1)))
	all, allScores := RouteCount{}, soakScores{}
	worst, likelihood := RouteCount{}, math.Inf(-1)
	for _, route := range slices.Sorted(maps.Keys(totals)) {
		atShift := r.atShift[route]
		scores := scoreSoak(totals[route], &atShift)
		all.merge(totals[route])
		for i, v := range scores {
			allScores[i] += v
		}
		if l := scores.mixture() - handicap; l > likelihood {
			worst, likelihood = *totals[route], l
		}
	}
	if l := allScores.mixture(); l > likelihood {
		worst, likelihood = all, l
	}
	if likelihood < soakThreshold {
		return false
	}
	d.settle(soakFailureEvidence, likelihood, worst)
	return true
}

// soakFailureEvidence names the evidence from failed answers in the soak.
const soakFailureEvidence = "soak failures"
