package choice

import "time"

// Hold records that a version has degraded. A held version gets no new work until an
// operator lifts the hold.
type Hold struct {
	Version string
	// Term counts the holds of the version. Lifting one term does not affect a later one.
	Term uint64
	// Lifted is set when an operator has lifted this term.
	Lifted bool
	// Node is the node that raised the hold, At the time, and Class the class of the last
	// observation, if known.
	Node   string
	Reason HoldReason
	Class  string
	At     time.Time
}

// HoldReason is the kind of evidence that a hold is based on.
type HoldReason string

// The reasons for holds.
const (
	// HoldRatings means that ratings fell far below the version's reference.
	HoldRatings HoldReason = "ratings"
	// HoldErrors means that far too many of the version's attempts failed.
	HoldErrors HoldReason = "errors"
)

// After reports whether h replaces o, a hold of the same version: h has a later term, or
// lifts the same term.
func (h Hold) After(o Hold) bool {
	if h.Term != o.Term {
		return h.Term > o.Term
	}
	return h.Lifted && !o.Lifted
}
