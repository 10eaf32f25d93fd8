package gateway

import (
	"context"
	"time"
)

// tellRollouts tells other nodes how roll-outs stand, regularly while one is
// under way and at once when this node has decided something.
//
// It is a duty apart from the deciding: peers that are cut off take their whole
// time-out, and a verdict that waited for them would come too late into the
// platform's table.
func (n *Node) tellRollouts(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.urgent:
			n.feedReaders(ctx)
			n.feedGroup(ctx)
			n.exchangeAll(ctx)
		case <-tick.C:
			n.feedSettling(ctx)
		}
	}
}

// tellSoon has the other nodes told at once.
func (n *Node) tellSoon() {
	select {
	case n.urgent <- struct{}{}:
	default: // they are about to be told already
	}
}

// feedSettling tells this node's group and the other readers what it knows
// more often while a roll-out is under way.
func (n *Node) feedSettling(ctx context.Context) {
	now := time.Now()
	n.mu.Lock()
	due := n.canary.Settling(now) && now.Sub(n.fedAt) >= settlingEvery
	if !due {
		due = len(n.orders) > 0 && now.Sub(n.fedAt) >= n.readEvery()
	}
	if due {
		n.fedAt = now
	}
	settling := n.canary.Settling(now)
	n.mu.Unlock()
	if !due {
		return
	}
	n.feedReaders(ctx)
	if settling {
		n.feedGroup(ctx)
	}
}
