package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
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
			pause(ctx, min(wait, n.lookEvery()))
			continue
		}
		cause := n.readingCause(failures)
		if r.read(withCause(ctx, cause)) {
			failures = 0
			n.feedGroup(ctx, cause)
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

// startStep is the pause between looks of a node that knows nothing at what peers have
// told it.
const startStep = 5 * time.Millisecond

// lookEvery bounds the pause until this node looks anew when it should read the table.
func (n *Node) lookEvery() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.list.provenAt.IsZero() || n.list.ordersProvenAt.IsZero() {
		return startStep
	}
	return n.readEvery()
}

// readEvery is the pause between a reader's readings.
func (n *Node) readEvery() time.Duration { return n.settings.readEvery() }

// nextReading is when this node should read the table, after failed readings.
func (n *Node) nextReading(failures int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := readingPlan{
		every: n.readEvery(),
		began: n.began, asked: n.asked, informed: n.informed, founding: n.founding(),
		listProven: n.list.provenAt, ordersProven: n.list.ordersProvenAt, ordersPending: n.list.ordersPendingAt,
		readAt: n.readAt, failures: failures, empty: !n.list.ordersProvenAt.IsZero() && n.list.orders == 0,
		reads: n.reads(), turn: n.turnToRead(),
	}
	return p.due()
}

// turnToRead is this node's place in its group, 0 to 1; the caller holds mu.
func (n *Node) turnToRead() float64 {
	group := n.roster.Group()
	place := slices.IndexFunc(group, func(m gossip.Member) bool { return m.ID == n.settings.ID })
	return float64(place) / float64(len(group))
}

// founding tells whether the deployment starts for the first time and this node is none
// of its seeds.
func (n *Node) founding() bool {
	return n.settings.Founding && len(n.settings.Seeds) > 0 && !slices.Contains(n.settings.Seeds, n.settings.Peer)
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

// feedGroup tells the members of this node's group what it has read of the table, if it
// is their reader or has read because that one is not heard: they would all read the
// same.
func (n *Node) feedGroup(ctx context.Context, cause CallCause) {
	n.mu.Lock()
	group := slices.Clone(n.roster.Group())
	reads := n.reads()
	n.mu.Unlock()
	if !reads && cause != CauseMember && cause != CauseRetry {
		return
	}
	others := slices.DeleteFunc(group, func(m gossip.Member) bool { return m.ID == n.settings.ID })
	n.exchangeWith(ctx, others, n.feedMessage)
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
