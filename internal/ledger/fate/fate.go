// Package fate says what became of a call to the platform.
package fate

import (
	"errors"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// Fate is what became of a call.
type Fate uint8

// The fates.
const (
	// Applied means that the write took effect.
	Applied Fate = iota + 1
	// Conflict means that a condition failed. An earlier sending of the same
	// write may have taken effect all the same.
	Conflict
	// Refused means that the call took no effect.
	Refused
	// Unanswered means that the write may have taken effect, or may yet.
	Unanswered
)

var names = [...]string{"none", "applied", "conflict", "refused", "unanswered"}

// String returns the fate's name.
func (f Fate) String() string { return names[f] }

// OfError returns the fate of a call that ended in an error. What does not
// prove that nothing took effect is in doubt.
func OfError(err error) Fate {
	if errors.Is(err, platform.ErrRefused) {
		return Refused
	}
	return Unanswered
}

// OfCommit returns the fate of a transaction.
func OfCommit(result platform.CommitResult, err error) Fate {
	switch {
	case err != nil:
		return OfError(err)
	case result.Applied:
		return Applied
	default:
		return Conflict
	}
}
