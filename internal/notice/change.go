package notice

import "time"

// Change is what a statement changed at this node.
type Change struct {
	Kind ChangeKind
	// Before is the limit until now, Lasted how long one was in force at this node.
	Before, Now Limit
	Lasted      time.Duration
	// Repeated is set where a change of the same upstream was reported a moment ago.
	Repeated bool
}

// ChangeKind is the kind of a [Change].
type ChangeKind int

const (
	// None: nothing that matters has changed.
	None ChangeKind = iota
	// LimitBegan, LimitChanged and LimitEnded: the upstream's rate limit.
	LimitBegan
	LimitChanged
	LimitEnded
)

// String names the kind in metrics.
func (k ChangeKind) String() string {
	switch k {
	case LimitBegan:
		return "limit_began"
	case LimitChanged:
		return "limit_changed"
	case LimitEnded:
		return "limit_ended"
	}
	return "none"
}
