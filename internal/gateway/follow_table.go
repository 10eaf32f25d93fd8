package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/progress"
	"github.com/hickorybank/hickorybank/internal/revision"
)

// followTable keeps up with the platform's table.
//
// If every node read the table, the calls would grow with the number of nodes. So
// neighbouring nodes form groups, and the leader of a group pushes what is read to its
// members. Leaders form leader groups, of which one, the reader, reads the table. A node that
// receives nothing for a while reads the table itself. The loss of a reader, or an error
// that only the reader gets, thus costs calls and not freshness.
func (n *Node) followTable(ctx context.Context) {
	r := tableReader{node: n}
	defer r.wait()
	failures := 0
	for ctx.Err() == nil {
		if wait := time.Until(n.nextReading(failures)); wait > 0 {
			if n.awaitRemoteReading(ctx, min(wait, n.recheckInterval())) {
				n.relayReading(ctx)
			}
			continue
		}
		cause, before := n.readingCause(failures), n.readingAudience()
		if cause == CauseMember && !n.actingAsReader() {
			n.logReaderMissed()
		}
		ok := r.read(withCause(ctx, cause))
		n.noteReading(ok, cause)
		if ok {
			failures = 0
			n.pushReading(ctx, cause, before)
		} else {
			failures++
			n.logReadingPutOff(failures)
			n.pushOutage(ctx, failures)
		}
	}
}

// noteReading records whether this node's reading has succeeded, and whether it has read in
// place of its reader.
func (n *Node) noteReading(ok bool, cause CallCause) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.readFailed = !ok
	n.view.substituted = ok && (cause == CauseMember || cause == CauseRetry)
}

// awaitRemoteReading waits for a time, until this node's reading may be due earlier, or until
// it has received another node's reading of the table that it has to push to its group; it
// reports whether it has.
func (n *Node) awaitRemoteReading(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-n.readingDue:
	case <-n.remoteReading:
		return true
	}
	return false
}

// noteRemoteReading records that this node has received another node's reading of the
// table, which it pushes to its group if it leads the group or the sender thinks so; the
// caller holds mu.
//
// Nodes do not always agree on who leads: where the leader of a group has just started, the
// reader may not know of it yet. The node that it takes for the leader would keep the reading
// to itself.
//
// A reader that cannot read passes the readings of its group's members on to the leaders: the
// member that reads in its place informs the group alone.
func (n *Node) noteRemoteReading(in gossip.Message) {
	switch {
	case n.inGroup(in.From):
		if !n.view.readFailed || !n.readsTable() {
			return
		}
		n.view.relayToLeaders = true
	case in.ForGroup || n.leadsGroup():
		n.view.relayToGroup = true
	default:
		return
	}
	wake(n.remoteReading)
}

// readingCause returns why this node reads the table now, after a number of failed
// readings.
func (n *Node) readingCause(failures int) CallCause {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case failures > 0:
		return CauseRetry
	case n.view.listAsOf.IsZero():
		return CauseStart
	case n.readsTable():
		return CauseReader
	default:
		return CauseMember
	}
}

// startPollInterval is how often a node without state computes its first reading anew, apart
// from the messages of peers.
const startPollInterval = 100 * time.Millisecond

// recheckInterval bounds the pause until this node computes its next reading anew.
func (n *Node) recheckInterval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view.listAsOf.IsZero() || n.view.ordersAsOf.IsZero() {
		return startPollInterval
	}
	return n.readInterval()
}

// readInterval returns the pause between a reader's readings.
func (n *Node) readInterval() time.Duration { return n.settings.readInterval() }

// readerInterval returns the pause between a reader's readings at present; the caller holds
// mu.
//
// It is short after an outage, when most entries of upstreams have lapsed. Live upstreams
// are listed again within two seconds; until the next reading the few that were listed
// first would get all requests.
func (n *Node) readerInterval() time.Duration {
	if time.Since(n.view.recoveredAt) < recoveryWindow {
		return min(recoveryInterval, n.readInterval())
	}
	return n.listInterval()
}

// listInterval returns the pause between readings of the list that nodes expect of their
// reader; the caller holds mu. It is short after the first reading, or the first after an
// outage, as entries may have lapsed.
func (n *Node) listInterval() time.Duration {
	if time.Since(n.view.gaplessSince) < recoveryWindow {
		return min(recoveryInterval, n.readInterval())
	}
	return n.readInterval()
}

// nextReading returns when this node should read the table, after a number of failed
// readings.
func (n *Node) nextReading(failures int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.readingPlan(failures)
	n.view.readingDueAt = p.due()
	return n.view.readingDueAt
}

// readingPlan returns the state on which the next reading depends, after a number of failed
// readings; the caller holds mu.
func (n *Node) readingPlan(failures int) readingPlan {
	p := readingPlan{
		interval:  n.listInterval(),
		startedAt: n.startedAt, expectsPeers: n.expectsPeers(), informedAt: n.informedAt, bootstrapping: n.bootstrapping(),
		peersAnswer: len(n.peerStates) > 0, peerReadingAt: n.view.peerReadingAt,
		listAsOf: n.view.listAsOf, listPendingAt: n.view.listPendingAt, ordersAsOf: n.view.ordersAsOf, ordersPendingAt: n.view.ordersPendingAt,
		readAt: n.lastReadAt, failures: failures, empty: !n.view.ordersAsOf.IsZero() && n.view.ordersRevision == 0,
		outage: n.view.outageAt.After(n.view.listAsOf), outageSince: n.view.outageSince, outageAt: n.view.outageAt,
		nearReader: n.roster.Reader().ID == n.roster.Group()[0].ID,
		serves:     n.config.Load() != nil && n.view.listRevision > 0,
		messageAge: n.view.messageAge, acting: n.actsAsReader(),
		leadsGroup: n.leadsGroup(), readsTable: n.readsTable(),
	}
	p.place, p.turn = n.readTurn()
	p.startTurn, p.startJitter = n.startTurn(p.place), n.startJitter()
	return p
}

// startJitter returns a fraction, 0 to 1, that differs between nodes and their starts.
func (n *Node) startJitter() float64 {
	const steps = 1000
	return float64(originOf(n.settings.ID, n.incarnation)%steps) / steps
}

// startTurn returns this node's turn to read the table while no node has any state: seeds
// come first, then leaders and their groups. The caller holds mu.
func (n *Node) startTurn(place int) int {
	seeds := n.settings.Seeds
	if i := slices.Index(seeds, n.settings.Peer); i >= 0 {
		return i
	}
	if n.leadsGroup() {
		return len(seeds) + place
	}
	return len(seeds) + 1 + place
}

// readTurn returns this node's place in its group, or a leader's in its leader group, as an index
// and as a fraction from 0 to 1; the caller holds mu.
func (n *Node) readTurn() (place int, fraction float64) {
	group := n.roster.Group()
	if n.leadsGroup() {
		group = n.roster.LeaderGroup()
	}
	place = slices.IndexFunc(group, func(m gossip.Member) bool { return m.ID == n.settings.ID })
	return place, float64(place) / float64(max(len(group), 1))
}

// bootstrapping reports whether the whole deployment starts for the first time and this
// node is not one of its seeds.
func (n *Node) bootstrapping() bool {
	return n.settings.Bootstrap && len(n.settings.Seeds) > 0 && !slices.Contains(n.settings.Seeds, n.settings.Peer)
}

// leadsGroup reports whether this node leads its group; the caller holds mu.
func (n *Node) leadsGroup() bool { return n.roster.Group()[0].ID == n.settings.ID }

// readsTable reports whether this node reads the table for its leader group; the caller holds mu.
func (n *Node) readsTable() bool {
	leaders := n.roster.LeaderGroup()
	return len(leaders) > 0 && leaders[0].ID == n.settings.ID
}

// actsAsReader reports whether this node reads for others because its reader's messages
// stopped: it has read the table in place of the reader, and no other node has read it since.
// The caller holds mu.
//
// If it waited for the reader's messages anew after each of its readings, it would learn of
// each change later than a reader.
func (n *Node) actsAsReader() bool {
	return n.view.substituted && !n.readsTable() && n.view.listAsOf.Equal(n.view.ownListAsOf)
}

// advanceList records that the node knows the list as of the time at, when the table's
// clock showed clock; the caller holds mu.
func (n *Node) advanceList(at time.Time, clock time.Duration) {
	n.view.listClock = clock
	known := n.view.listAsOf
	if !at.After(known) {
		return
	}
	if n.view.lastFailure().After(known) {
		n.view.recoveredAt = time.Now()
	}
	if known.IsZero() || n.missedReadings(at) {
		n.view.gapStart = known
		n.view.gaplessSince = at
	}
	n.view.listAsOf = at
	n.listOffers = listOffers{}
	n.dropExpiredRetained()
}

// tableCallContext bounds a call of the table that may wait for a change.
//
// The bound on the whole call allows for large answers. An answer of 785 kB, 1,046 kB on
// the wire, never completed over a link of 10 Mbit/s within a fixed limit, and each retry
// started over. A table that stops responding is still detected within tableCallTimeout.
func tableCallContext(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return progress.Context(ctx, progress.Limits{FirstByte: tableCallTimeout + wait, Idle: tableCallTimeout, Total: tableCallTimeout + wait + maxTableTransfer})
}

// fetchFleet returns the changes of the list after a revision, or the whole list if the
// table no longer has that history.
func (n *Node) fetchFleet(ctx context.Context, after revision.Revision) (FleetChange, error) {
	ctx, cancel := tableCallContext(ctx, 0)
	defer cancel()
	change, err := n.source.Fleet(ctx, after)
	if errors.Is(err, ErrCompacted) {
		return n.source.Fleet(ctx, 0)
	}
	return change, err
}

// fetchOrders returns the operator orders after a revision, or all of them if the table no
// longer has that history. It waits up to wait for a change.
func (n *Node) fetchOrders(ctx context.Context, after revision.Revision, wait time.Duration) (OrdersChange, error) {
	ctx, cancel := tableCallContext(ctx, wait)
	defer cancel()
	change, err := n.source.Orders(ctx, after, wait)
	if errors.Is(err, ErrCompacted) {
		return n.source.Orders(ctx, 0, 0)
	}
	return change, err
}
