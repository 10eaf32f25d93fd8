package canary

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/revision"
)

// Order is an operator's request to move a service to a version.
type Order struct {
	Service string
	Target  string
	// Limit is the time from the start of the order within which a verdict must be
	// recorded.
	Limit time.Duration
	// Late is the uncertainty of the start: the order may have been given this much
	// earlier than the start that is passed to [Canary.AddOrder].
	Late time.Duration
	// Revision numbers the orders of one service; a higher one replaces a lower one.
	Revision revision.Revision
}

// Verdict is the outcome of an order.
type Verdict int

const (
	// Open means that the order has no verdict yet.
	Open Verdict = iota
	// Completed means that only the new version stays in use.
	Completed
	// RolledBack means that only the old version stays in use.
	RolledBack
)

// String returns the verdict's name in logs.
func (v Verdict) String() string {
	switch v {
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled_back"
	default:
		return "running"
	}
}
