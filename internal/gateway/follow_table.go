package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/progress"
)

// followTable keeps up with the platform's table.
//
// Reading it from every node costs calls that grow with the nodes. So nodes
// form groups of neighbours, whose first member reads and tells the others; a
// node that has not heard for a while reads by itself, so that a reader that
// is lost, cut off or turned away costs calls and not freshness.
func (n *Node) followTable(ctx context.Context) {
	r := tableReader{node: n}
	defer r.end()
	failures := 0
	for ctx.Err() == nil {
		if wait := time.Until(n.nextReading(failures)); wait > 0 {
			pause(ctx, min(wait, n.readEvery()))
			continue
		}
		if r.read(withCause(ctx, n.readingCause(failures))) {
			failures = 0
			n.feedGroup(ctx)
		} else {
			failures++
		}
	}
}

// readingCause is why this node reads the table now, after failed readings.
func (n *Node) readingCause(failures int) CallCause {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case failures > 0:
		return CauseRetry
	case n.list.provenAt.IsZero():
		return CauseStart
	case n.reads():
		return CauseReader
	default:
		return CauseMember
	}
}

// readEvery is the pause between a reader's readings.
func (n *Node) readEvery() time.Duration { return n.settings.readEvery() }

// nextReading is when this node should read the table.
func (n *Node) nextReading(failures int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.list.provenAt.IsZero() && failures == 0 {
		return time.Time{}
	}
	due := n.list.provenAt // a reader's own call waits for changes
	if !n.reads() {
		due = earlier(n.list.provenAt, later(n.list.ordersProvenAt, n.list.ordersPendingAt))
		due = due.Add(time.Duration(ownReadPart * float64(n.readEvery())))
	}
	if failures > 0 {
		due = later(due, n.readAt.Add(n.readAgain(failures)))
	}
	return due
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// readAgain is the pause after readings that failed; the caller holds mu.
//
// It guards against a table that is away: every node then misses its reader's
// news, and all would call it at the readers' pace, for an answer that the
// readers have as soon as it is back. A node that knows nothing yet, and a
// reader, go on at theirs.
func (n *Node) readAgain(failures int) time.Duration {
	most := mostRetryRead
	if !n.list.provenAt.IsZero() && !n.reads() {
		most = memberRetryRead
	}
	return min(retryCall<<min(failures-1, 4), most)
}

// reads tells whether this node reads the table for its group; the caller
// holds mu.
func (n *Node) reads() bool { return n.roster.Group()[0].ID == n.settings.ID }

// listProven notes that what the node knows of the upstreams is as of a time; the
// caller holds mu.
func (n *Node) listProven(at time.Time) {
	known := n.list.provenAt
	if !at.After(known) {
		return
	}
	if known.IsZero() || n.wasAway(at) {
		n.list.awayFrom = known
		n.list.steadySince = at
	}
	n.list.provenAt = at
	n.dropLapsed()
}

// tableCall bounds a call of the table that may wait for a change.
//
// It guards against answers that have grown: 785 kB, 1,046 kB on the wire, never came
// over a link of 10 Mbit/s within a fixed limit, and each try began anew. A table that
// has fallen silent still shows within callTimeout.
func tableCall(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return progress.Context(ctx, progress.Limits{First: callTimeout + wait, Pause: callTimeout, Whole: callTimeout + wait + mostTransfer})
}

func (n *Node) fetchFleet(ctx context.Context, after uint64) (FleetChange, error) {
	ctx, cancel := tableCall(ctx, 0)
	defer cancel()
	change, err := n.source.Fleet(ctx, after)
	if errors.Is(err, ErrCompacted) {
		return n.source.Fleet(ctx, 0)
	}
	return change, err
}

func (n *Node) fetchOrders(ctx context.Context, after uint64, wait time.Duration) (OrdersChange, error) {
	ctx, cancel := tableCall(ctx, wait)
	defer cancel()
	change, err := n.source.Orders(ctx, after, wait)
	if errors.Is(err, ErrCompacted) {
		return n.source.Orders(ctx, 0, 0)
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

// feedReaders tells the readers of the other groups what this group knows: all of
// them what it has counted of a roll-out, else some: each reads the table itself, and
// is only faster so.
func (n *Node) feedReaders(ctx context.Context) {
	n.mu.Lock()
	groups := n.roster.Groups()
	reader := n.roster.Group()[0].ID == n.settings.ID
	open := len(n.canary.Tallies(time.Now())) > 0
	n.mu.Unlock()
	if !reader {
		return
	}
	var readers []gossip.Member
	for _, g := range groups {
		if g[0].ID != n.settings.ID {
			readers = append(readers, g[0])
		}
	}
	if !open {
		rand.Shuffle(len(readers), func(i, k int) { readers[i], readers[k] = readers[k], readers[i] })
		readers = readers[:min(len(readers), urgentWidth)]
	}
	n.exchangeWith(ctx, readers, n.feedMessage)
}
