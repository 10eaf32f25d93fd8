package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// planCase is a node's state and the expected time of its next reading, since its start.
type planCase struct {
	name string
	plan readingPlan
	due  time.Duration
}

// planInterval is the pause between a reader's readings in the cases.
const planInterval = 2 * time.Second

// TestReadingPlan checks the plan in each situation: normal operation, starts of some and
// of all nodes, a lost reader, and a table that is unavailable to some or to all.
func TestReadingPlan(t *testing.T) {
	began := time.Unix(1000, 0)
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	known := readingPlan{listAsOf: at(10), ordersAsOf: at(10), readAt: at(8), nearReader: true}
	with := func(change func(p *readingPlan)) readingPlan {
		p := known
		change(&p)
		return p
	}
	cases := []planCase{
		{"start, alone", readingPlan{}, 0},
		{"start, no peer has answered", readingPlan{expectsPeers: true}, peerWait},
		{"start, no peer has answered, last of many", readingPlan{expectsPeers: true, startJitter: 1}, peerWait + peerWaitSpread},
		{"start, peers have no state, first seed", readingPlan{expectsPeers: true, peersAnswer: true}, 0},
		{"start, peers have no state, fourth turn", readingPlan{expectsPeers: true, peersAnswer: true, startTurn: 3}, 3 * coldStartStep},
		{"start, a peer without state reads the table", readingPlan{expectsPeers: true, peersAnswer: true, startTurn: 2, peerReadingAt: at(0.4)}, 400*time.Millisecond + 2*coldStartStep},
		{"start, a peer has all state", readingPlan{expectsPeers: true, peersAnswer: true, informedAt: at(0.02)}, 20*time.Millisecond + informedWait},
		{"start, a peer sends its list", readingPlan{expectsPeers: true, peersAnswer: true, informedAt: at(0.02), listPendingAt: at(0.5)}, 500*time.Millisecond + informedWait},
		{"start, list received, orders in transfer", readingPlan{informedAt: at(0.02), listAsOf: at(0.1)}, 20*time.Millisecond + informedWait},
		{"first start of the whole deployment", readingPlan{bootstrapping: true, expectsPeers: true}, bootstrapWait},
		{"reader, empty table", readingPlan{listAsOf: at(1), ordersAsOf: at(1), readAt: at(1), empty: true, readsTable: true}, time.Second + firstRetryDelay},
		{"member, empty table", readingPlan{listAsOf: at(1), ordersAsOf: at(1), readAt: at(1), empty: true}, 4200 * time.Millisecond},
		{"member that has just started", readingPlan{listAsOf: at(1), ordersAsOf: at(1)}, 4200 * time.Millisecond},
		{"member that started some seconds ago", readingPlan{listAsOf: at(4), ordersAsOf: at(4)}, 6400 * time.Millisecond},
		{"start, table unavailable", readingPlan{expectsPeers: true, readAt: at(1), failures: 5}, time.Second + maxReaderRetryDelay},
		{"start, table unavailable to peers as well", readingPlan{expectsPeers: true, peersAnswer: true, startTurn: 3, readAt: at(1), failures: 5}, time.Second + 4*maxReaderRetryDelay},
		{"reader", with(func(p *readingPlan) { p.readsTable = true }), 10 * time.Second},
		{"reader, table unavailable", with(func(p *readingPlan) { p.readsTable, p.readAt, p.failures = true, at(12), 3 }), 12*time.Second + maxReaderRetryDelay},
		{"reader, refused by a table that serves others", with(func(p *readingPlan) {
			p.readsTable, p.listAsOf, p.ordersAsOf, p.readAt, p.failures = true, at(17), at(17), at(12), 3
		}), 18 * time.Second},
		{"reader, refused by a table, the node that informed it is lost", with(func(p *readingPlan) {
			p.readsTable, p.leadsGroup, p.listAsOf, p.ordersAsOf, p.readAt, p.failures = true, true, at(12.5), at(12.5), at(12), 3
		}), 14700 * time.Millisecond},
		{"first member, no messages from the reader", known, 12400 * time.Millisecond},
		{"last member, no messages from the reader", with(func(p *readingPlan) { p.turn = 1 }), 13000 * time.Millisecond},
		{"first leader, no messages from the reader", with(func(p *readingPlan) { p.leadsGroup = true }), 12200 * time.Millisecond},
		{"last leader, before any member", with(func(p *readingPlan) { p.leadsGroup, p.turn = true, 1 }), 12400 * time.Millisecond},
		{"first leader, messages of a slow table", with(func(p *readingPlan) { p.leadsGroup, p.messageAge = true, 200*time.Millisecond }), 12400 * time.Millisecond},
		{"first leader, messages of a very slow table", with(func(p *readingPlan) { p.leadsGroup, p.messageAge = true, time.Second }), 12500 * time.Millisecond},
		{"first member after a failed turn, the reader's reports stopped", with(func(p *readingPlan) {
			p.outage, p.place, p.outageSince, p.outageAt, p.readAt, p.failures = true, 1, at(10.1), at(10.1), at(10.5), 1
		}), 12500 * time.Millisecond},
		{"first leader, reader reports an outage", with(func(p *readingPlan) { p.outage, p.place, p.leadsGroup, p.outageSince = true, 1, true, at(10.1) }), 10260 * time.Millisecond},
		{"first member, reader reports an outage", with(func(p *readingPlan) { p.outage, p.place, p.outageSince = true, 1, at(10.1) }), 10460 * time.Millisecond},
		{"first member of another group, reader reports an outage", with(func(p *readingPlan) { p.outage, p.place, p.outageSince, p.nearReader = true, 1, at(10.1), false }), 11420 * time.Millisecond},
		{"sixth member, reader reports an outage", with(func(p *readingPlan) { p.outage, p.place, p.outageSince = true, 6, at(10.1) }), 11260 * time.Millisecond},
		{"eighth member, reader reports an outage", with(func(p *readingPlan) { p.outage, p.place, p.outageSince, p.outageAt = true, 8, at(10.1), at(13) }), 14140 * time.Millisecond},
		{"last of many members, reader reports an outage", with(func(p *readingPlan) { p.outage, p.place, p.outageSince, p.outageAt = true, 23, at(10.1), at(22) }), 22300 * time.Millisecond},
		{"member that reads in place of its reader", with(func(p *readingPlan) { p.acting = true }), 10 * time.Second},
		{"member that reads in place of its reader, refused as well", with(func(p *readingPlan) { p.acting, p.readAt, p.failures = true, at(12), 1 }), 12*time.Second + firstRetryDelay},
		{"member after a failed turn, reader reports an outage", with(func(p *readingPlan) {
			p.outage, p.place, p.outageAt, p.readAt, p.failures = true, 1, at(25), at(13.1), 1
		}), 25100 * time.Millisecond},
		{"start, table unavailable to peers as well, serves by a peer's configuration", readingPlan{expectsPeers: true, peersAnswer: true, serves: true, startTurn: 23, readAt: at(1), failures: 5}, time.Second + 3200*time.Millisecond},
		{"reader reports a large transfer", with(func(p *readingPlan) { p.listAsOf, p.ordersPendingAt = at(11.5), at(11.8) }), 13900 * time.Millisecond},
		{"member, first call failed", with(func(p *readingPlan) { p.readAt, p.failures = at(13), 1 }), 13*time.Second + firstRetryDelay},
		{"member, table unavailable", with(func(p *readingPlan) { p.readAt, p.failures = at(13.2), 2 }), 15600 * time.Millisecond},
		{"member that failed to read, messages resumed", with(func(p *readingPlan) { p.listAsOf, p.ordersAsOf, p.readAt, p.failures = at(30), at(30), at(13), 4 }), 32400 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.plan.interval, c.plan.startedAt = planInterval, began
			is.New(t).Equal(c.plan.due().Sub(began).Round(time.Microsecond), c.due)
		})
	}
}
