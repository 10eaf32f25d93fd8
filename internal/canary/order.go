package canary

import "time"

// Order is an operator's wish to move a service to a version.
type Order struct {
	Service string
	Target  string
	Limit   time.Duration
	// Late is how much earlier than it was learned of the order may have been
	// given.
	Late time.Duration
	// Revision orders the orders of one service.
	Revision uint64
}

// Verdict is what became of an order.
type Verdict int

const (
	// Open orders are under way.
	Open Verdict = iota
	// Completed orders left only the new version in use.
	Completed
	// RolledBack orders left only the old version in use.
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
