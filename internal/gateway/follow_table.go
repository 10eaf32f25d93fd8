package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/progress"
)

// followTable keeps up with the platform's table.
//
// Reading it from every node costs calls that grow with the nodes. So nodes
// form groups of neighbours, whose leader tells the others what is read, and the
// leaders circles, of which one reads. A node that has not heard for a while reads by
// itself, so that a reader that is lost, cut off or turned away costs calls and not
// freshness.
func (n *Node) followTable(ctx context.Context) {
	r := tableReader{node: n}
	defer r.end()
	failures := 0
	for ctx.Err() == nil {
		if wait := time.Until(n.nextReading(failures)); wait > 0 {
			if n.awaitNews(ctx, min(wait, n.lookEvery())) {
				n.feedGroup(ctx)
			}
			continue
		}
		cause := n.readingCause(failures)
		if r.read(withCause(ctx, cause)) {
			failures = 0
			n.passOn(ctx, cause)
		} else {
			failures++
			n.tellAway(ctx, failures)
		}
	}
}

// awaitNews waits for a time, or until a leader has heard of a reading of the table that
// its group has to be told of; it reports whether it has.
func (n *Node) awaitNews(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-n.readElsewhere:
		return true
	}
	return false
}

// noteReading notes that another node's reading of the table has become known here, by
// word of a peer; the caller holds mu.
func (n *Node) noteReading(from string) {
	if !n.leads() || n.inGroup(from) {
		return
	}
	select {
	case n.readElsewhere <- struct{}{}:
	default: // the group is about to be told
	}
}

// tellAway tells those for which this node reads that it cannot, once for each outage.
// They would take it for lost, and all read the table in turn.
func (n *Node) tellAway(ctx context.Context, failures int) {
	n.mu.Lock()
	n.list.awayAt = time.Now()
	told := n.leads() && failures == 1
	n.mu.Unlock()
	if told {
		n.passOn(ctx, CauseReader)
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

// pace is the pause between a reader's readings now; the caller holds mu.
//
// It guards against a list that is read when most upstreams' entries have lapsed: those
// that live are listed again within two seconds, and until the next reading the few that
// were listed first would get all requests.
func (n *Node) pace() time.Duration {
	if time.Since(n.list.returnedAt) < returnWatch {
		return min(returnEvery, n.readEvery())
	}
	return n.listEvery()
}

// listEvery is the pause between readings of the list that nodes expect of who reads for
// them; the caller holds mu. It is short after the first reading of all that there was, or
// of an outage's end: entries may have lapsed.
func (n *Node) listEvery() time.Duration {
	if time.Since(n.list.steadySince) < returnWatch {
		return min(returnEvery, n.readEvery())
	}
	return n.readEvery()
}

// nextReading is when this node should read the table, after failed readings.
func (n *Node) nextReading(failures int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := readingPlan{
		every: n.listEvery(),
		began: n.began, asked: n.asked, informed: n.informed, founding: n.founding(),
		listProven: n.list.provenAt, ordersProven: n.list.ordersProvenAt, ordersPending: n.list.ordersPendingAt,
		readAt: n.readAt, failures: failures, empty: !n.list.ordersProvenAt.IsZero() && n.list.orders == 0,
		away:  n.list.awayAt.After(n.list.provenAt),
		leads: n.leads(), reads: n.reads(),
	}
	p.place, p.turn = n.turnToRead()
	return p.due()
}

// turnToRead is this node's place in its group, or a leader's in its circle, as a number
// and as a part, 0 to 1; the caller holds mu.
func (n *Node) turnToRead() (place int, part float64) {
	group := n.roster.Group()
	if n.leads() {
		group = n.roster.Circle()
	}
	place = slices.IndexFunc(group, func(m gossip.Member) bool { return m.ID == n.settings.ID })
	return place, float64(place) / float64(max(len(group), 1))
}

// founding tells whether the deployment starts for the first time and this node is none
// of its seeds.
func (n *Node) founding() bool {
	return n.settings.Founding && len(n.settings.Seeds) > 0 && !slices.Contains(n.settings.Seeds, n.settings.Peer)
}

// leads tells whether this node leads its group; the caller holds mu.
func (n *Node) leads() bool { return n.roster.Group()[0].ID == n.settings.ID }

// reads tells whether this node reads the table for its circle; the caller holds mu.
func (n *Node) reads() bool {
	circle := n.roster.Circle()
	return len(circle) > 0 && circle[0].ID == n.settings.ID
}

// listProven notes that what the node knows of the upstreams is as of a time, and of the
// table's clock then; the caller holds mu.
func (n *Node) listProven(at time.Time, clock time.Duration) {
	n.list.listClock = clock
	known := n.list.provenAt
	if !at.After(known) {
		return
	}
	if n.list.awayAt.After(known) {
		n.list.returnedAt = time.Now()
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

// passOn tells others what this node has read of the table: the reader the leaders of its
// circle, a leader its group. So does a node that has read because those are not heard:
// all others would read the same.
func (n *Node) passOn(ctx context.Context, cause CallCause) {
	n.mu.Lock()
	group, circle := n.roster.Group(), n.roster.Circle()
	leads, reads := n.leads(), n.reads()
	n.mu.Unlock()
	standsIn := cause == CauseMember || cause == CauseRetry
	var told conc.WaitGroup
	if reads || leads && standsIn {
		told.Go(func() { n.exchangeWith(ctx, n.except(circle), n.feedMessage) })
	}
	if leads || standsIn {
		told.Go(func() { n.exchangeWith(ctx, n.except(group), n.feedMessage) })
	}
	told.Wait()
}

// feedGroup tells the members of this node's group what it knows, if it leads them.
func (n *Node) feedGroup(ctx context.Context) {
	n.mu.Lock()
	group, leads := n.roster.Group(), n.leads()
	n.mu.Unlock()
	if leads {
		n.exchangeWith(ctx, n.except(group), n.feedMessage)
	}
}

// except returns some members without this node.
func (n *Node) except(members []gossip.Member) []gossip.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m gossip.Member) bool { return m.ID == n.settings.ID })
}

// feedLeaders tells the leaders of the other groups what this group knows: all of
// them what it has counted of a roll-out, else some: each hears it anyway, and is only
// faster so.
func (n *Node) feedLeaders(ctx context.Context) {
	n.mu.Lock()
	groups := n.roster.Groups()
	leads := n.leads()
	open := len(n.canary.Tallies(time.Now())) > 0
	n.mu.Unlock()
	if !leads {
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
