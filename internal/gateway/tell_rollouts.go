package gateway

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// pushRollouts pushes the state of rollouts to other nodes: regularly while a rollout is
// under way, and at once on request. Requests follow a decision of this node or, on a
// group's leader, a newer configuration.
//
// It runs apart from followRollouts. Calls of unreachable peers take their whole timeout,
// and a verdict that waited for them would reach the platform's table too late.
func (n *Node) pushRollouts(ctx context.Context) {
	ordered := n.rolloutOrdered
	var tick <-chan time.Time // none before the first rollout
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.pushRequested:
			n.pushToAll(ctx)
		case <-ordered:
			ticker := time.NewTicker(soakTickInterval)
			defer ticker.Stop()
			ordered, tick = nil, ticker.C
		case <-tick:
			n.pushSettling(ctx)
		}
	}
}

// pushToAll calls other leaders, this node's group and some other peers at the same time: a
// peer that does not answer costs its timeout and must not delay the rest.
func (n *Node) pushToAll(ctx context.Context) {
	var pushes conc.WaitGroup
	pushes.Go(func() { n.pushToLeaders(ctx) })
	pushes.Go(func() { n.pushToGroup(ctx) })
	pushes.Go(func() { n.exchangeUrgently(ctx) })
	pushes.Wait()
}

// requestPush wakes pushRollouts.
func (n *Node) requestPush() { wake(n.pushRequested) }

// pushSettling pushes this node's state to its group and to other leaders more often while
// a rollout is under way.
func (n *Node) pushSettling(ctx context.Context) {
	now := time.Now()
	n.mu.Lock()
	soaking := n.canary.Soaking()
	due := soaking || n.canary.Settling(now) && now.Sub(n.lastPushAt) >= settlingPushInterval
	if !due {
		due = len(n.rollouts) > 0 && now.Sub(n.lastPushAt) >= n.readInterval()
	}
	if due {
		n.lastPushAt = now
	}
	settling := soaking || n.canary.Settling(now)
	open := len(n.canary.Tallies(now)) > 0
	n.mu.Unlock()
	if !due {
		return
	}
	if open {
		n.pushToLeaders(ctx)
	}
	if settling {
		n.pushToGroup(ctx)
	}
}
