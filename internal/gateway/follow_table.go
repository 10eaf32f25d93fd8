package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

// followTable keeps up with the platform's table.
//
// Reading it from every node costs calls that grow with the nodes. So nodes
// form groups of neighbours, whose first member reads and tells the others; a
// node that has not heard for a while reads by itself, so that a reader that
// is lost, cut off or turned away costs calls and not freshness.
func (n *Node) followTable(ctx context.Context) {
	failures := 0
	for {
		due := n.nextReading(failures)
		if wait := time.Until(due); wait > 0 {
			if !pause(ctx, min(wait, n.readEvery())) {
				return
			}
			continue
		}
		if n.readTable(ctx) {
			failures = 0
			n.feedGroup(ctx)
		} else {
			failures++
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// readEvery is the pause between a reader's readings.
func (n *Node) readEvery() time.Duration {
	return time.Duration(readPart * float64(min(n.settings.Drain, n.settings.Apply)))
}

// nextReading is when this node should read the table.
func (n *Node) nextReading(failures int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.list.provenAt.IsZero() && failures == 0 {
		return time.Time{}
	}
	wait := n.readEvery()
	if n.roster.Group()[0].ID != n.settings.ID {
		wait = time.Duration(ownReadPart * float64(wait))
	}
	due := n.list.provenAt.Add(wait)
	if failures > 0 {
		backoff := min(retryCall<<min(failures-1, 4), mostRetryRead)
		if again := n.readAt.Add(backoff); again.After(due) {
			due = again
		}
	}
	return due
}

// readTable reads what has changed in the table; it reports whether it could.
func (n *Node) readTable(ctx context.Context) bool {
	began := time.Now()
	n.mu.Lock()
	n.readAt = began
	fleetAfter, ordersAfter := n.list.revision, n.list.orders
	n.mu.Unlock()
	type result struct {
		change OrdersChange
		err    error
	}
	orders := make(chan result, 1)
	go func() {
		change, err := n.fetchOrders(ctx, ordersAfter)
		orders <- result{change, err}
	}()
	change, err := n.fetchFleet(ctx, fleetAfter)
	n.sourceResult("upstreams", err)
	o := <-orders
	n.sourceResult("orders", o.err)
	if o.err == nil {
		n.takeOrdersChange(ctx, o.change, ordersAfter == 0)
	}
	if err != nil {
		return false
	}
	n.applyFleet(change)
	if o.err != nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.proven(began)
	return true
}

// proven notes that what the node knows of the table is as of a time; the
// caller holds mu.
func (n *Node) proven(at time.Time) {
	if !at.After(n.list.provenAt) {
		return
	}
	if n.list.provenAt.IsZero() || at.Sub(n.list.provenAt) > awayTimes*n.readEvery() {
		n.list.awayFrom = n.list.provenAt
		n.list.steadySince = at
	}
	n.list.provenAt = at
}

func (n *Node) fetchFleet(ctx context.Context, after uint64) (FleetChange, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	change, err := n.source.Fleet(ctx, after)
	if errors.Is(err, ErrCompacted) {
		return n.source.Fleet(ctx, 0)
	}
	return change, err
}

func (n *Node) fetchOrders(ctx context.Context, after uint64) (OrdersChange, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	change, err := n.source.Orders(ctx, after)
	if errors.Is(err, ErrCompacted) {
		return n.source.Orders(ctx, 0)
	}
	return change, err
}

// feedGroup tells the members of this node's group what it knows, if it is
// their reader.
func (n *Node) feedGroup(ctx context.Context) {
	n.mu.Lock()
	group := n.roster.Group()
	n.mu.Unlock()
	if group[0].ID != n.settings.ID {
		return
	}
	n.exchangeWith(ctx, group[1:], n.feedMessage)
}

// feedReaders tells the readers of the other groups what this group has
// counted.
func (n *Node) feedReaders(ctx context.Context) {
	n.mu.Lock()
	groups := n.roster.Groups()
	reader := n.roster.Group()[0].ID == n.settings.ID
	open := len(n.canary.Tallies(time.Now())) > 0
	n.mu.Unlock()
	if !reader || !open {
		return
	}
	var readers []gossip.Member
	for _, g := range groups {
		if g[0].ID != n.settings.ID {
			readers = append(readers, g[0])
		}
	}
	n.exchangeWith(ctx, readers, n.feedMessage)
}
