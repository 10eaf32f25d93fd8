package membership

import (
	"context"
	"errors"

	"github.com/hickorybank/hickorybank/internal/peer"
)

// ObservedCaller is a [peer.Caller] that reports the outcome of each call to a [Tracker], so
// that the calls between nodes serve as heartbeats.
type ObservedCaller struct {
	caller  peer.Caller
	tracker *Tracker
}

var _ peer.Caller = (*ObservedCaller)(nil)

// NewObservedCaller returns a caller that forwards calls to caller and reports their outcomes
// to tracker.
func NewObservedCaller(caller peer.Caller, tracker *Tracker) *ObservedCaller {
	return &ObservedCaller{caller: caller, tracker: tracker}
}

// Call implements [peer.Caller]. A call that its caller cancels is not an observation.
func (o *ObservedCaller) Call(ctx context.Context, addr, method string, args, reply any) error {
	err := o.caller.Call(ctx, addr, method, args, reply)
	switch {
	case errors.Is(err, context.Canceled) || ctx.Err() == context.Canceled:
		// Cancelled by the caller: no evidence about the peer.
	case errors.Is(err, peer.ErrNotSent):
		o.tracker.Observe(addr, ConnectFailed)
	case errors.Is(err, peer.ErrUnknown):
		o.tracker.Observe(addr, Broken)
	default:
		o.tracker.Observe(addr, Reached)
	}
	return err
}
