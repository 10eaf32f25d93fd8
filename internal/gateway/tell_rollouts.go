package gateway

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// tellRollouts tells other nodes how roll-outs stand, regularly while one is
// under way and at once when this node has decided something or, as its group's
// leader, has a newer configuration.
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
			n.tellAll(ctx)
		case <-tick.C:
			n.feedSettling(ctx)
		}
	}
}

// tellAll tells other leaders, this node's group and some others at once: one that
// does not answer costs its time-out, and must not hold up the rest.
func (n *Node) tellAll(ctx context.Context) {
	var told conc.WaitGroup
	told.Go(func() { n.feedLeaders(ctx) })
	told.Go(func() { n.feedGroup(ctx) })
	told.Go(func() { n.exchangeAll(ctx) })
	told.Wait()
}

// tellSoon has the other nodes told at once.
func (n *Node) tellSoon() {
	select {
	case n.urgent <- struct{}{}:
	default: // they are about to be told already
	}
}

// feedSettling tells this node's group and the other leaders what it knows
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
	open := len(n.canary.Tallies(now)) > 0
	n.mu.Unlock()
	if !due {
		return
	}
	if open {
		n.feedLeaders(ctx)
	}
	if settling {
		n.feedGroup(ctx)
	}
}
