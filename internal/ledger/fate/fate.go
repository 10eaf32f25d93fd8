// Package fate classifies the results of calls to the platform by whether they took
// effect.
package fate

import (
	"errors"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// Fate is the result of a call, as far as it is known. The zero value is not valid.
type Fate uint8

// The possible results of a call.
const (
	// Applied means that the write took effect.
	Applied Fate = iota + 1
	// Conflict means that a condition failed. An earlier try of the same write may
	// have taken effect all the same.
	Conflict
	// Refused means that the call took no effect.
	Refused
	// Unanswered means that the result is unknown: the write may have taken effect,
	// or may take effect later.
	Unanswered
)

var fateNames = [...]string{"none", "applied", "conflict", "refused", "unanswered"}

// String returns the name of the result in lower case.
func (f Fate) String() string { return fateNames[f] }

// OfError returns the fate of a call that returned an error: Refused if the error is
// platform.ErrRefused, which proves that the call had no effect, otherwise Unanswered.
func OfError(err error) Fate {
	if errors.Is(err, platform.ErrRefused) {
		return Refused
	}
	return Unanswered
}

// OfCommit returns the fate of a transaction from the results of its commit.
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
