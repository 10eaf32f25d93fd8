package canary

import (
	"slices"
	"strings"
	"time"
)

// Decision is a verdict that is to be written.
type Decision struct {
	Order   Order
	Verdict Verdict
	// Made is set when this call made the verdict.
	Made bool
	// Widened is set when this call let more sessions take part in the trial, Shift when
	// it began to shift all.
	Widened, Shift bool
	// Likelihood is the evidence against the version at its worst route.
	Likelihood float64
	Route      string
	// Counts are the answers of that route, Answers all of the new version's.
	Counts  RouteCount
	Answers int64
}

// View is what a node sees beside the answers.
type View struct {
	// Count is how many upstreams of a version, and of all, are ready.
	Count func(service, version string) (ofVersion, all int)
	// Whole tells whether the node hears the tallies of all nodes: only then
	// does no work in its sight mean no work at all.
	Whole bool
}

// Tick weighs the evidence and returns what has begun and the verdicts that the
// platform's table does not hold yet.
func (c *Canary) Tick(now time.Time, view View) []Decision {
	var out []Decision
	for _, r := range c.rollouts {
		d := Decision{Order: r.order}
		if r.verdict == Open {
			d.Made = c.weigh(r, &d, now, view)
		}
		d.Verdict = r.verdict
		if r.verdict != Open && !r.written || d.Shift || d.Widened {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b Decision) int { return strings.Compare(a.Order.Service, b.Order.Service) })
	return out
}

func (c *Canary) weigh(r *rollout, d *Decision, now time.Time, view View) bool {
	for route, sum := range r.total() {
		e := r.tests[route]
		if e == nil {
			e = &evidence{}
			r.tests[route] = e
		}
		e.add(sum, now)
		if e.likelihood > d.Likelihood {
			d.Likelihood, d.Route, d.Counts = e.likelihood, route, sum
		}
		if e.convicts(now, r.grown.IsZero()) {
			r.verdict = RolledBack
		}
	}
	d.Answers = r.answers()
	if r.verdict != Open {
		return true
	}
	if !view.Whole {
		return false
	}
	if r.shouldWiden(now, d.Answers) {
		r.widened = now
		d.Widened = true
	}
	ofVersion, all := view.Count(r.order.Service, r.order.Target)
	enough := d.Answers >= leastAnswers && ofVersion > 0 && 3*ofVersion >= all
	good := enough && d.Likelihood < doubtAt
	end := r.end(c.settings)
	if good {
		// Only the bound on its requests is in the way. Rolled back it would be
		// as much too late as if the order proves to be older: what is not known
		// of the order's time does not count.
		end = end.Add(shiftGrace + r.order.Late)
	}
	switch {
	case !r.grown.IsZero():
	case good && r.mayShift(c.settings, now):
		r.grown = now
		d.Shift = true
	case !now.Before(end):
		// In doubt, or with too few answers to tell, the old version stays: the
		// operator can order the new one again.
		r.verdict = RolledBack
		return true
	}
	if r.grown.IsZero() {
		return false
	}
	proved := now.Sub(r.grown) >= proveFor && r.oldInFlight() == 0
	if now.Before(r.end(c.settings)) && (r.share(c.settings, now) < 1 || !proved) {
		return false
	}
	r.verdict = Completed
	return true
}
