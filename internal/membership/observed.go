package membership

import (
	"context"
	"errors"

	"github.com/hickorybank/hickorybank/internal/peer"
)

// ObservedCaller is a [peer.Caller] that tells a Tracker what its calls show
// of the peers: what the nodes send each other anyway serves as heartbeats.
type ObservedCaller struct {
	caller  peer.Caller
	tracker *Tracker
}

var _ peer.Caller = (*ObservedCaller)(nil)

// NewObservedCaller wraps a caller.
func NewObservedCaller(caller peer.Caller, tracker *Tracker) *ObservedCaller {
	return &ObservedCaller{caller: caller, tracker: tracker}
}

// Call implements [peer.Caller].
func (o *ObservedCaller) Call(ctx context.Context, addr, method string, args, reply any) error {
	err := o.caller.Call(ctx, addr, method, args, reply)
	switch {
	case errors.Is(err, context.Canceled) || ctx.Err() == context.Canceled:
		// The caller gave up: that says nothing of the peer.
	case errors.Is(err, peer.ErrNotSent):
		o.tracker.Observe(addr, ConnectFailed)
	case errors.Is(err, peer.ErrUnknown):
		o.tracker.Observe(addr, Broken)
	default:
		o.tracker.Observe(addr, Reached)
	}
	return err
}
