package notice

import "time"

// Change is what a statement changed at this node.
type Change struct {
	Kind ChangeKind
	// Before is the limit until now, Lasted how long one was in force at this node.
	Before, Now Limit
	Lasted      time.Duration
	// Until is the end of a rest.
	Until time.Time
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
	// Leaving: the upstream says that it leaves, for good.
	Leaving
	// RestBegan: the upstream wants nothing from this node until a time.
	RestBegan
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
	case Leaving:
		return "leaving"
	case RestBegan:
		return "rest"
	}
	return "none"
}
