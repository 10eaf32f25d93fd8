package ledger

import "errors"

var (
	// ErrNotClaimed means that this attempt does not hold the key and will not get
	// it: the work has not run, and the caller may try again.
	ErrNotClaimed = errors.New("not claimed")
	// ErrClaimUnknown means that the claim may or may not have taken effect. The work
	// must not run. Another claim with the same attempt returns the result; Release
	// frees the key.
	ErrClaimUnknown = errors.New("not known whether claimed")
	// ErrUnsafe means that the bill, settlement or release is not yet stored safely.
	// It is safe to repeat the call.
	ErrUnsafe = errors.New("not safe")
	// ErrClosed means that the ledger is not started or is closed. Peers recognise it
	// by its text.
	ErrClosed = errors.New("ledger is closed")
)
