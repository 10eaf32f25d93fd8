package gateway

import (
	"math"
	"time"
)

const (
	// leaderReadDelay and memberReadDelay are how long a group's leader and its members
	// wait for their reader's messages before they may read the table themselves, in read
	// intervals. They wait longer by the age that the last message had on arrival, up to
	// maxMessageAge: the table may be slow.
	leaderReadDelay = 1.1
	memberReadDelay = 1.2
	maxMessageAge   = 0.15
	// settlingDelay is how much longer a node waits that has just started, in read intervals:
	// the nodes that start with it do not agree yet on who reads for whom.
	settlingDelay = 0.4
	// leaderTurnSpan and memberTurnSpan are the time over which they then take turns, in
	// read intervals. Leaders come first.
	leaderTurnSpan = 0.1
	memberTurnSpan = 0.3
	// outageTurnDelay is the time between the first outageTurns turns while the reader
	// reports that it cannot read, in read intervals. If the table refuses a third of the
	// nodes, at least one of six can read in all but one of seven hundred cases, well
	// within the bounds on changes. Later turns are delayed exponentially, up to
	// maxOutageDelay.
	outageTurnDelay = 0.08
	outageTurns     = 6
	maxOutageDelay  = 6
	// firstRetryDelay is the pause after the first failed call of the table, and between a
	// reader's readings of an empty table.
	firstRetryDelay = 250 * time.Millisecond
	// maxReaderRetryDelay bounds the pause after failed calls for readers and for nodes
	// without state. A node must see the table's return early enough to meet all bounds on
	// changes.
	maxReaderRetryDelay = 400 * time.Millisecond
	// refusedReaderReads is the pause between failed readings of a reader while other nodes
	// inform it, in read intervals.
	refusedReaderReads = 3
	// peerWait is how long a node without state waits for the answer of a peer, and
	// peerWaitSpread the time over which nodes without an answer then read the table: many
	// may start at once, their seeds among them. informedWait is how long a node waits for
	// the state of a peer that has it.
	peerWait       = 300 * time.Millisecond
	peerWaitSpread = 500 * time.Millisecond
	informedWait   = 800 * time.Millisecond
	// bootstrapWait is how long the nodes of a deployment that starts for the first time
	// leave the table to their seeds. There are no callers yet.
	bootstrapWait = 2 * time.Second
	// coldStartStep is the time between the turns of nodes without state whose peers have
	// none either.
	coldStartStep = 500 * time.Millisecond
)

// readingPlan holds the inputs that decide when a node next reads the table.
//
// It covers four situations:
//
//   - Normal operation: one node reads for its leader group, and each leader informs its own
//     group.
//   - A reader is lost, cut off or refused by the table: its members miss its messages at
//     the same moment. They take turns, and the first that can read informs the others. A
//     third of the nodes refused thus costs a few calls and not the readings of all nodes.
//   - All nodes have lost their state: the first seed reads at once, and the others take
//     turns in case it can't. A list is then read by a few nodes and not by each.
//   - The table is unavailable to all: readers keep checking for its return and report the
//     outage each read interval. A few other nodes try in turns with growing delays, as long as
//     the reports come.
//
// A node that serves never goes without a reading, its own or another's, and without a report for
// longer than maxSilence. That fits into the bound on changes, with one failed call once the node
// has settled.
type readingPlan struct {
	// interval is the pause between a reader's readings.
	interval time.Duration
	// startedAt is when the node started; informedAt is when a peer that knows what the
	// table holds first answered. expectsPeers is set if the settings name other nodes.
	// bootstrapping is set while the whole deployment starts for the first time and this
	// node is none of its seeds.
	startedAt, informedAt       time.Time
	expectsPeers, bootstrapping bool
	// peersAnswer is set while peers answer. startTurn is this node's turn among nodes
	// without state. peerReadingAt is when a peer without state last said that it reads the
	// table.
	peersAnswer   bool
	startTurn     int
	peerReadingAt time.Time
	// startJitter, 0 to 1, differs between nodes.
	startJitter float64
	// listAsOf and ordersAsOf are the times as of which the node knows the list and
	// operator orders. ordersPendingAt is when orders were last known to be in transfer.
	// listPendingAt is when a peer last sent a part of its list.
	listAsOf, ordersAsOf, ordersPendingAt, listPendingAt time.Time
	// readAt is when the node last read the table, failures the number of failed readings
	// since the last success. empty is set if the table held no orders.
	readAt   time.Time
	failures int
	empty    bool
	// outage is set while the reader or leader of this node reports that it can't read;
	// outageSince is when the first such report arrived, outageAt when its latest reading
	// failed.
	outage                bool
	outageSince, outageAt time.Time
	// nearReader is set if the reader leads this node's own group.
	nearReader bool
	// messageAge is the age of the latest reading of another node when it arrived.
	messageAge time.Duration
	// serves is set if the node answers callers, by a configuration that may be out of date.
	serves bool
	// acting is set while this node reads in place of its reader, whose messages stopped.
	acting bool
	// leadsGroup is set if the node leads its group, readsTable if it also reads for its
	// leader group. turn is its place among the others as a fraction, 0 to 1.
	leadsGroup, readsTable bool
	turn                   float64
	// place is that place as an index; 0 is the reader or leader itself.
	place int
}

// due returns when the node should read the table.
func (p *readingPlan) due() time.Time {
	unknown := p.listAsOf.IsZero() || p.ordersAsOf.IsZero()
	switch {
	case p.empty && p.readsTable:
		return p.readAt.Add(firstRetryDelay) // the operator's first configuration is expected
	case unknown && p.failures == 0:
		return p.startDue()
	case unknown:
		return p.readAt.Add(p.startRetryDelay())
	case !p.readsTable && !p.acting:
		return p.followerDue()
	case p.failures == 0:
		return p.listAsOf // a reader's own call waits for changes
	case p.listAsOf.After(p.readAt):
		// Another node can read: the table refuses only this one, while that node lives.
		return earlier(p.readAt.Add(p.retryDelay(refusedReaderReads*p.interval)), p.retryAfterSilence())
	default:
		return p.readAt.Add(p.retryDelay(maxReaderRetryDelay))
	}
}

// startDue returns when a node without state reads the table. Its peers have everything
// that it needs, unless they have just started as well.
func (p *readingPlan) startDue() time.Time {
	switch {
	case !p.informedAt.IsZero():
		return later(p.informedAt, p.listPendingAt).Add(informedWait)
	case p.peersAnswer:
		return later(p.startedAt, p.peerReadingAt).Add(time.Duration(p.startTurn) * coldStartStep)
	case p.bootstrapping:
		return p.startedAt.Add(bootstrapWait)
	case !p.expectsPeers:
		return p.startedAt
	default:
		return p.startedAt.Add(peerWait + time.Duration(p.startJitter*float64(peerWaitSpread)))
	}
}

// startRetryDelay returns the pause after failed readings of a node that does not know all
// state. Nodes without any take turns, one that serves reads within the bound on changes.
func (p *readingPlan) startRetryDelay() time.Duration {
	delay := p.retryDelay(maxReaderRetryDelay)
	if !p.peersAnswer {
		return delay
	}
	delay *= time.Duration(1 + p.startTurn)
	if p.serves {
		return min(delay, p.maxSilence())
	}
	return delay
}

// followerDue returns when a node that is not a reader reads the table itself.
func (p *readingPlan) followerDue() time.Time {
	if !p.outage {
		return p.retryAfterSilence()
	}
	// The reader lives and can't read, so that there is no message to wait for.
	turn := p.outageSince.Add(p.outageDelay())
	if p.failures > 0 {
		turn = later(turn, p.readAt.Add(maxOutageDelay*p.interval))
	}
	return earlier(turn, p.retryAfterSilence())
}

// retryAfterSilence returns when a node reads that has no sign of its reader's life, after a
// pause if its latest reading failed. No pause may exceed the bound on changes: nobody else may
// inform this node.
func (p *readingPlan) retryAfterSilence() time.Time {
	silent := p.lastSign().Add(p.maxSilence())
	if p.failures == 0 {
		return silent
	}
	return later(silent, p.readAt.Add(p.retryDelay(p.maxSilence())))
}

// lastSign returns when a reader last read the table for this node or tried to.
func (p *readingPlan) lastSign() time.Time {
	known := earlier(later(p.listAsOf, p.listPendingAt), later(p.ordersAsOf, p.ordersPendingAt))
	if p.outage {
		return later(known, p.outageAt)
	}
	return known
}

// maxSilence returns how long this node goes without a sign of its reader's life.
func (p *readingPlan) maxSilence() time.Duration {
	wait := memberReadDelay + memberTurnSpan*p.turn
	if p.leadsGroup {
		wait = leaderReadDelay + leaderTurnSpan*p.turn
	}
	wait += min(float64(p.messageAge)/float64(p.interval), maxMessageAge)
	if p.lastSign().Sub(p.startedAt) < leaderSettleTime {
		wait += settlingDelay
	}
	pause := p.interval
	if p.outage {
		// A reader whose calls hang reports once in that time.
		pause = max(pause, tableCallTimeout+maxReaderRetryDelay)
	}
	return time.Duration(wait * float64(pause))
}

// outageDelay returns how long after its reader's report this node reads the table itself.
// Leaders come first, and the reader's own group before others: the reader passes on what its
// group's members read.
func (p *readingPlan) outageDelay() time.Duration {
	turn := p.outageTurn()
	if !p.nearReader {
		turn += outageTurns * outageTurnDelay
	}
	if !p.leadsGroup {
		turn += memberReadDelay - leaderReadDelay
	}
	return time.Duration(turn * float64(p.interval))
}

// outageTurn returns how much longer this node waits while the table may be unavailable to
// all, in read intervals.
func (p *readingPlan) outageTurn() float64 {
	if p.place <= outageTurns {
		return outageTurnDelay * float64(p.place)
	}
	return min(outageTurnDelay*outageTurns*math.Exp2(float64(p.place-outageTurns)), maxOutageDelay)
}

// retryDelay returns the pause after failed readings, up to a bound. It is short after the
// first failure, as a single call may fail by chance.
func (p *readingPlan) retryDelay(bound time.Duration) time.Duration {
	if p.failures == 1 {
		return min(firstRetryDelay, bound)
	}
	return bound
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
