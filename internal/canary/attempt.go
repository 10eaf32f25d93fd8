package canary

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/revision"
)

// Attempt is one attempt at an upstream, from [Canary.Begin] to [Canary.End].
type Attempt struct {
	Service, Version, Route, Model, Upstream string
	// Work is the attempt's work relative to others of its service: its wait is expected to
	// grow in proportion. 0 counts as 1.
	Work float64
	// Load is the number of other attempts in progress at the upstream, at all nodes as far as
	// known, when this one began.
	Load float64
	// Noticeable are the differences in the wait and in the pace that callers begin to notice.
	Noticeable [measures]time.Duration
	// Overloaded is set if the upstream gets more load than usual on purpose: the delays of the
	// attempt are not comparable.
	Overloaded bool

	// onNew is set if the attempt is compared as one of the new version.
	onNew bool
	// revision is that of the order when the attempt began.
	revision  revision.Revision
	began     time.Time
	startedAt time.Time
	// counted is set once the answer counts, graded once a measure of it counts.
	counted bool
	graded  [measures]bool
}

// work returns what the attempt's delay is proportional to.
func (a *Attempt) work(m Measure) float64 {
	if m == Pace || a.Work <= 0 {
		return 1
	}
	return a.Work
}

// Begin records an attempt that is sent to an upstream; first is set for the first attempt of a
// request.
func (c *Canary) Begin(a Attempt, first bool, now time.Time) *Attempt {
	a.began = now
	r := c.rollouts[a.Service]
	if r == nil {
		return &a
	}
	a.revision = r.order.Revision
	if r.verdict != Open {
		return &a
	}
	r.observe(now)
	if first {
		r.own.Requests++
	}
	r.own.Attempts++
	if a.Version == r.order.Target {
		r.own.Exposed++
		a.onNew = true
		r.running[&a] = struct{}{}
	} else {
		r.own.OldInFlight++
	}
	return &a
}

// Start records that the answer has begun.
func (c *Canary) Start(a *Attempt, now time.Time) {
	a.startedAt = now
	c.grade(a, Wait, now.Sub(a.began))
}

// CountPace counts the answer as a good one and records its pace, 0 if it is not known.
func (c *Canary) CountPace(a *Attempt, pace time.Duration) {
	if pace > 0 {
		c.grade(a, Pace, pace)
	}
	if !a.counted {
		c.countAnswer(a, false)
	}
}

// CountFailure counts the answer as one that failed or broke off.
func (c *Canary) CountFailure(a *Attempt) { c.countAnswer(a, true) }

// End records that the attempt no longer runs. cut is set if this node or its caller ended it
// although the upstream was at work: what it had taken by then still counts.
func (c *Canary) End(a *Attempt, cut bool, now time.Time) {
	r := c.rollouts[a.Service]
	if r == nil || !r.isOf(a.revision) {
		return
	}
	if !a.onNew {
		r.own.OldInFlight = max(r.own.OldInFlight-1, 0)
		return
	}
	delete(r.running, a)
	if m, g, ok := c.reachedGrade(a, now); ok && cut {
		r.cutAt(a.Route)[m][g]++
	}
}

// countAnswer counts an answer as good or failed.
func (c *Canary) countAnswer(a *Attempt, failed bool) {
	a.counted = true
	r := c.rollouts[a.Service]
	if r == nil {
		return
	}
	bad := int64(0)
	if failed {
		bad = 1
	}
	count := r.count(a.Route)
	if a.Version == r.order.Target {
		count.New++
		count.NewBad += bad
	} else {
		count.Base++
		count.BaseBad += bad
	}
}

// grade counts a delay by its grade. A delay whose usual value is not known is no evidence.
func (c *Canary) grade(a *Attempt, m Measure, delay time.Duration) {
	if a.graded[m] || a.Overloaded {
		return
	}
	a.graded[m] = true
	r := c.rollouts[a.Service]
	onNew := r != nil && a.Version == r.order.Target
	usual := c.references.usual(a, m)
	if !onNew {
		c.references.add(a, m, delay)
	}
	if r == nil || usual == 0 {
		return
	}
	g := grade(delay, usual, a.Noticeable[m])
	count := &r.count(a.Route).Delays[m]
	if onNew {
		count.New[g]++
		r.own.Classes.count(a.Upstream, m, g)
	} else {
		count.Base[g]++
	}
}
