package ledger

import "errors"

var (
	// ErrNotClaimed says that the key is not claimed by this attempt, for
	// certain: the work has not run and the caller may try again.
	ErrNotClaimed = errors.New("not claimed")
	// ErrClaimUnknown says that it is not known whether the claim took
	// effect. The work must not run. Asking again with the same attempt tells;
	// Release makes the key free again.
	ErrClaimUnknown = errors.New("not known whether claimed")
	// ErrUnsafe says that the bill, settlement or release is not safe yet.
	// Giving it again is harmless.
	ErrUnsafe = errors.New("not safe")
	// ErrClosed says that the ledger takes nothing more.
	ErrClosed = errors.New("ledger is closed")
)
