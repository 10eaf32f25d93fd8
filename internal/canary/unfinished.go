package canary

import "time"

// reachedGrade returns the measure that an unfinished attempt has yet to show and the grade that
// it has reached so far; ok is false if there is none.
func (c *Canary) reachedGrade(a *Attempt, now time.Time) (m Measure, g int, ok bool) {
	var reached time.Duration
	switch {
	case a.Overloaded:
		return 0, 0, false
	case !a.graded[Wait]:
		m, reached = Wait, now.Sub(a.began)
	case !a.graded[Pace]:
		m, reached = Pace, now.Sub(a.startedAt)/(PaceEvents-1)
	default:
		return 0, 0, false
	}
	usual := c.references.usual(a, m)
	if usual == 0 {
		return 0, 0, false
	}
	return m, grade(reached, usual, a.Noticeable[m]), true
}

// countUnfinished brings the counts of unfinished attempts up to date.
//
// Slow answers arrive late: without the unfinished ones, the answers of a slow version that have
// arrived at any moment are its quick ones.
func (c *Canary) countUnfinished(r *rollout, now time.Time) {
	for route, count := range r.counts {
		cut := r.cutAt(route)
		for m := range count.Delays {
			count.Delays[m].Unfinished = cut[m]
		}
	}
	for a := range r.running {
		if m, g, ok := c.reachedGrade(a, now); ok {
			r.count(a.Route).Delays[m].Unfinished[g]++
		}
	}
}

// cutAt returns the grades of the route's attempts on the new version that were ended early.
func (r *rollout) cutAt(route string) *[measures]DelayCounts {
	cut := r.cut[route]
	if cut == nil {
		cut = &[measures]DelayCounts{}
		r.cut[route] = cut
	}
	return cut
}
