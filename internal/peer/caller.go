package peer

import (
	"context"
	"errors"
)

var (
	// ErrNotSent says that the peer could not be connected to.
	ErrNotSent = errors.New("peer could not be reached")
	// ErrUnknown says that the answer did not come: the peer may have acted.
	ErrUnknown = errors.New("peer's answer did not come")
)

// Caller calls a method of a peer, for example "Ledger.Append". Args and
// reply are gob-encoded. An error that the method itself returned comes as
// net/rpc's ServerError.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}
