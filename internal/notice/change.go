package notice

import "time"

// Change is a change of an upstream's state at this node.
type Change struct {
	Kind ChangeKind
	// Before and Now are the limits before and after the change. Lasted is how long a limit
	// that ended was in force at this node.
	Before, Now Limit
	Lasted      time.Duration
	// Until is the end of a back-off.
	Until time.Time
	// Repeated is set if a change of the same upstream was reported less than a second
	// before.
	Repeated bool
}

// ChangeKind is the kind of a [Change].
type ChangeKind int

const (
	// None means that no relevant state changed.
	None ChangeKind = iota
	// LimitBegan, LimitChanged and LimitEnded are changes of the advertised rate limit.
	LimitBegan
	LimitChanged
	LimitEnded
	// BrittleBegan and BrittleEnded are changes of the bound on rejections.
	BrittleBegan
	BrittleEnded
	// Leaving means that the upstream announced its shutdown, which is final.
	Leaving
	// BackoffBegan means that the upstream requested a back-off from this node.
	BackoffBegan
)

// String returns the kind's label value in metrics.
func (k ChangeKind) String() string {
	switch k {
	case LimitBegan:
		return "limit_began"
	case LimitChanged:
		return "limit_changed"
	case LimitEnded:
		return "limit_ended"
	case BrittleBegan:
		return "brittle_began"
	case BrittleEnded:
		return "brittle_ended"
	case Leaving:
		return "leaving"
	case BackoffBegan:
		return "rest"
	}
	return "none"
}
