package canary

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/revision"
)

// Tally is what one node has counted for one order. Its counts only grow, so a tally with
// a higher Seq replaces an earlier one, in whatever order they arrive.
type Tally struct {
	Service  string
	Revision revision.Revision
	// Node and Born identify one run of a node.
	Node string
	Born int64
	// Routes are the counts for each route.
	Routes []RouteCount
	// Requests is how many requests the service had since the order, Attempts how many attempts
	// they made, and Exposed how many of these went to the new version.
	Requests, Attempts, Exposed int64
	// Classes are the new version's delays by class of upstream.
	Classes ClassCounts
	// OldInFlight is how many attempts run on the old version now.
	OldInFlight int
	// WidenedShare is the share of the sessions in the trial since more of them take part; 0
	// before.
	WidenedShare float64
	// Shifted is set when the node shifts all sessions, since ShiftAge.
	Shifted  bool
	ShiftAge time.Duration
	// Verdict is the order's verdict as far as the node knows.
	Verdict Verdict
	// Written is set when the platform's table holds the verdict.
	Written bool
	// Seq grows with each tally of the node's run.
	Seq uint64
}

// RouteCount counts one route's answers: New of the new version and Base of the old one,
// with NewBad and BaseBad of them failed. Delays counts their delays by measure.
type RouteCount struct {
	Route         string
	New, NewBad   int64
	Base, BaseBad int64
	Delays        [measures]DelayCount
}

// merge adds another route's counts.
func (c *RouteCount) merge(other *RouteCount) {
	c.New += other.New
	c.NewBad += other.NewBad
	c.Base += other.Base
	c.BaseBad += other.BaseBad
	for m := range c.Delays {
		c.Delays[m].New.add(&other.Delays[m].New)
		c.Delays[m].Base.add(&other.Delays[m].Base)
		c.Delays[m].Unfinished.add(&other.Delays[m].Unfinished)
	}
}

// isPlausible reports whether the new version's answers can come from the attempts that the node
// made. A node that counts nonsense must not decide for all.
func (t *Tally) isPlausible() bool {
	waits := int64(0)
	for _, c := range t.Routes {
		if c.NewBad > c.New || c.BaseBad > c.Base {
			return false
		}
		waits += c.Delays[Wait].New.total()
	}
	return waits <= t.Exposed
}
