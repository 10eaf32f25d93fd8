package gateway

import (
	"math"
	"time"
)

const (
	// leaderReadPart and memberReadPart are how long a group's leader and its members wait
	// for who reads for them, in readings, before they may read the table themselves.
	leaderReadPart = 1.25
	memberReadPart = 1.4
	// leaderTurnPart and memberTurnPart are the time, in readings, over which they take
	// their turns then: leaders first.
	leaderTurnPart = 0.15
	memberTurnPart = 0.3
	// awayTurnPart is the time, in readings, between the first awayTurns turns where who
	// reads is heard but cannot read: where the table turns a third away, one of six can
	// read but for once in seven hundred times, and well within the bounds on changes.
	// Later turns come ever later, up to awayMostPart.
	awayTurnPart = 0.08
	awayTurns    = 6
	awayMostPart = 6
	// retryCall is the pause after a failed call of the table.
	retryCall = 250 * time.Millisecond
	// mostRetryRead bounds that pause for who reads for others or knows nothing: a node
	// that can reach the table again should know it well before it has to keep all
	// bounds.
	mostRetryRead = 400 * time.Millisecond
	// memberRetryReads is the pause between a follower's own failed readings, in
	// readings: those that can read tell it meanwhile.
	memberRetryReads = 3
	// startWait is how long a node that knows nothing waits for a peer that does,
	// informedWait how long for what that peer has, once it has been heard.
	startWait    = 100 * time.Millisecond
	informedWait = 800 * time.Millisecond
	// foundingWait is how long the nodes of a deployment that starts for the first time
	// leave the table to their seeds: nobody calls yet.
	foundingWait = 2 * time.Second
)

// readingPlan is what a node's next reading of the table follows from.
//
// It answers three patterns. Calm: one node reads for the leaders of its circle's groups,
// and each leader tells its group. A reader that is lost,
// cut off or turned away: its members miss its news in the same moment; they take turns,
// and the first that can read tells the others, so that a third of the nodes turned away
// costs a few calls and not the readings of all. A table that is away for all: readers
// look for its return and say that it is away; a few of the others try, in turns that come
// ever later.
type readingPlan struct {
	// every is the pause between a reader's readings.
	every time.Duration
	// began is when the node started; asked is set when a peer has answered it, or could
	// not be reached, and founding while a deployment starts for the first time and this
	// is none of its seeds. informed is when one that knows what the table holds first
	// answered.
	began, informed time.Time
	asked, founding bool
	// listProven, ordersProven and ordersPending are as of when the node knows the
	// list and operators' changes, and when it last heard that some are on their way.
	listProven, ordersProven, ordersPending time.Time
	// readAt is when the node last read the table, failures how often in a row it could
	// not; empty is set when nothing was there.
	readAt   time.Time
	failures int
	empty    bool
	// away is set while who reads for this node says that it cannot.
	away bool
	// leads is set where the node leads its group, reads where it reads for its circle
	// besides; turn is its place among the others, 0 to 1.
	leads, reads bool
	turn         float64
	// place is that place as a number, from 1.
	place int
}

// due is when the node should read the table.
func (p *readingPlan) due() time.Time {
	unknown := p.listProven.IsZero() || p.ordersProven.IsZero()
	switch {
	case p.empty && p.reads:
		return p.readAt.Add(retryCall) // the operator's first configuration is on its way
	case unknown && p.failures == 0:
		return p.start()
	case unknown:
		return p.readAt.Add(p.pause(mostRetryRead))
	case !p.reads:
		return p.follower()
	case p.failures == 0:
		return p.listProven // a reader's own call waits for changes
	case p.listProven.After(p.readAt):
		// Somebody else can read: the table turns just this node away.
		return p.readAt.Add(p.pause(memberRetryReads * p.every))
	default:
		return p.readAt.Add(p.pause(mostRetryRead))
	}
}

// start is when a node that knows nothing reads the table: its peers know all that it
// needs, unless they have just started as well.
func (p *readingPlan) start() time.Time {
	switch {
	case !p.informed.IsZero():
		return p.informed.Add(informedWait)
	case p.founding:
		return p.began.Add(foundingWait)
	case p.asked:
		return p.began
	default:
		return p.began.Add(startWait)
	}
}

// follower is when a node for which another one reads reads the table itself.
func (p *readingPlan) follower() time.Time {
	wait := memberReadPart + memberTurnPart*p.turn
	if p.leads {
		wait = leaderReadPart + leaderTurnPart*p.turn
	}
	retry := memberRetryReads * p.every
	if p.away {
		wait += p.awayTurn()
		retry = awayMostPart * p.every
	}
	known := earlier(p.listProven, later(p.ordersProven, p.ordersPending))
	due := known.Add(time.Duration(wait * float64(p.every)))
	switch {
	case p.failures == 0:
		return due
	case p.away:
		return later(due, p.readAt.Add(retry))
	default:
		return later(due, p.readAt.Add(p.pause(retry)))
	}
}

// awayTurn is how much longer, in readings, this node waits where the table may be away
// for all.
func (p *readingPlan) awayTurn() float64 {
	if p.place <= awayTurns {
		return awayTurnPart * float64(p.place)
	}
	return min(awayTurnPart*awayTurns*math.Exp2(float64(p.place-awayTurns)), awayMostPart)
}

// pause is the pause after readings that failed, up to a bound: short once, as a call
// may fail by chance.
func (p *readingPlan) pause(most time.Duration) time.Duration {
	if p.failures == 1 {
		return min(retryCall, most)
	}
	return most
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
