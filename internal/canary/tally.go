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
	// Requests is how many requests the service had since the order, and Exposed how many
	// attempts went to the new version.
	Requests, Exposed int64
	// OldInFlight is how many attempts run on the old version now.
	OldInFlight int
	// Widened is set when the node lets more sessions take part in the trial.
	Widened bool
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
// with NewBad and BaseBad of them bad.
type RouteCount struct {
	Route         string
	New, NewBad   int64
	Base, BaseBad int64
}
