package choice

import "time"

// Hold says that a version turned bad and gets no new work until an operator
// lifts the hold.
type Hold struct {
	Version string
	// Term counts the holds of the version; lifting term n says nothing of
	// term n+1.
	Term uint64
	// Lifted is set when an operator has ended this term.
	Lifted bool
	// Node saw it first.
	Node   string
	Reason HoldReason
	Class  string
	At     time.Time
}

// HoldReason says which evidence held a version.
type HoldReason string

// The reasons for holds.
const (
	// HoldRatings: its ratings fell far below what it used to reach.
	HoldRatings HoldReason = "ratings"
	// HoldErrors: its attempts failed far more often than others'.
	HoldErrors HoldReason = "errors"
)

// After says that the hold is a later word on its version than another one:
// of a later term, or the lifting of the same term.
func (h Hold) After(o Hold) bool {
	if h.Term != o.Term {
		return h.Term > o.Term
	}
	return h.Lifted && !o.Lifted
}
