package canary

import (
	"maps"
	"math"
	"slices"
	"time"
)

// addEvidence takes the answers up to now. It rolls the version back if they speak against it,
// and fills in the decision where they do so most. It sums all nodes' counts, and so once for
// each evaluation.
func (r *rollout) addEvidence(d *Decision, now time.Time) {
	trial := r.shiftedAt.IsZero()
	all, slow, doubt := RouteCount{}, false, false
	var delays addedDelays
	totals := r.total()
	for _, route := range slices.Sorted(maps.Keys(totals)) {
		sum := *totals[route]
		all.merge(&sum)
		test := r.tests[route]
		if test == nil {
			test = &routeEvidence{}
			r.tests[route] = test
		}
		test.handicap = math.Log(float64(len(totals)))
		test.failures.add(sum, now)
		test.addDelays(sum, now, &delays)
		d.Doubt = d.Doubt || test.failures.likelihood >= doubtThreshold
		d.note(failureEvidence, test.failures.likelihood, sum)
		if test.failures.rejects(now, trial) {
			r.verdict = RolledBack
			d.settle(failureEvidence, test.failures.likelihood, sum)
		}
		slow = r.judgeDelays(test, d, sum, now) || slow
		doubt = doubt || test.doubtsDelays()
	}
	r.allRoutes.sumDelays(&delays, now)
	slow = r.judgeDelays(&r.allRoutes, d, all, now) || slow
	doubt = doubt || r.allRoutes.doubtsDelays()
	d.AsQuick = r.allRoutes.asQuick()
	others := r.compareClasses(all)
	if others.explainSlowness() {
		d.AsQuick = max(d.AsQuick, others.asQuick)
	}
	if slow && !others.explainSlowness() {
		r.verdict = RolledBack
	}
	d.Doubt = d.Doubt || doubt && !others.explainSlowness()
	d.Answers = all.New
	if d.Evidence == "" {
		d.Counts = all
	}
}

// judgeDelays reports whether the delays speak against the version.
func (r *rollout) judgeDelays(test *routeEvidence, d *Decision, sum RouteCount, now time.Time) bool {
	m, likelihood := test.worstDelay()
	d.note(m.String(), likelihood, sum)
	if late, ok := test.becameSlow(); ok {
		d.note(late.String()+" lately", test.delays[late].becameSlow(), sum)
	}
	if !test.rejectsDelays(sum, now, r.shiftedAt.IsZero()) {
		return false
	}
	d.settle(m.String(), likelihood, sum)
	return true
}

// failureEvidence names the evidence from failed answers in decisions.
const failureEvidence = "failures"

// note records the strongest evidence against the version.
func (d *Decision) note(by string, likelihood float64, sum RouteCount) {
	if likelihood > d.Likelihood && !d.settled {
		d.Likelihood, d.Evidence, d.Route, d.Counts = likelihood, by, sum.Route, sum
	}
}

// settle records the evidence that decides; others may be stronger by a smaller bound.
func (d *Decision) settle(by string, likelihood float64, sum RouteCount) {
	d.settled = true
	d.Likelihood, d.Evidence, d.Route, d.Counts = likelihood, by, sum.Route, sum
}
