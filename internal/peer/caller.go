package peer

import (
	"context"
	"errors"
)

var (
	// ErrNotSent reports that no connection to the peer could be made. The call has had
	// no effect.
	ErrNotSent = errors.New("peer could not be reached")
	// ErrUnknown reports that the call was sent but no response arrived. The call may have
	// taken effect.
	ErrUnknown = errors.New("peer's answer did not come")
)

// Caller calls a method of a peer, for example "Ledger.Append". Args and reply are
// gob-encoded. Errors are [ErrNotSent], [ErrUnknown], or [net/rpc.ServerError] for an error
// that the method itself returned.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}
