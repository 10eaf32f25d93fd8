package gateway

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/revision"
	"github.com/hickorybank/hickorybank/internal/telemetry"
)

// newGroupNode returns a node whose group knows two members; reader makes it the one that
// reads the table for the group.
func newGroupNode(reader bool) *Node {
	id := "n9"
	if reader {
		id = "n0"
	}
	n := New(Settings{ID: id, Drain: 3 * time.Second, Apply: 3 * time.Second}, Deps{
		Log: slog.New(slog.DiscardHandler), Metrics: telemetry.New(telemetry.Bounds{}),
	})
	n.roster.SetSelf(true, false)
	n.roster.Merge([]gossip.Member{{ID: "n1", Born: 1, Peer: "x:1", Ready: true, Beat: 1}}, time.Now())
	return n
}

// countTableCalls returns how often a node calls the table during an outage; known is set
// if the node had read it before.
func countTableCalls(n *Node, known bool, outage time.Duration) int {
	if known {
		n.view.listAsOf = time.Now()
		n.view.ordersAsOf, n.view.ordersRevision = n.view.listAsOf, 1
	}
	end := time.Now().Add(outage)
	count := 0
	for {
		due := n.nextReading(count)
		if due.After(end) {
			return count
		}
		n.lastReadAt = due
		if n.lastReadAt.Before(time.Now()) {
			n.lastReadAt = time.Now()
		}
		count++
	}
}

// When their reader's messages stop, the members of a group call an unavailable table
// less often than a reader would. If all of them called at the reader's rate, one answer
// would cost twenty times the calls. A reader, and a node without state, keep that rate.
func TestMembersCallAnUnavailableTableSeldom(t *testing.T) {
	is := is.New(t)
	const outage = 10 * time.Second
	reader, member, fresh := countTableCalls(newGroupNode(true), true, outage), countTableCalls(newGroupNode(false), true, outage), countTableCalls(newGroupNode(false), false, outage)
	t.Logf("calls in %v: reader %d, member %d, member without state %d", outage, reader, member, fresh)
	is.True(3*member <= reader)
	is.True(member >= 3) // members do not rely on the reader alone
	is.True(fresh >= reader)
}

// changingTable is a table whose operator orders are newer than any list.
type changingTable struct {
	oneRoute
	lists int
}

func (*changingTable) Orders(context.Context, revision.Revision, time.Duration) (OrdersChange, error) {
	return OrdersChange{Revision: 9}, nil
}

func (t *changingTable) Fleet(context.Context, revision.Revision) (FleetChange, error) {
	t.lists++
	return FleetChange{Revision: 8}, nil
}

// Fails if a member calls the table without a pause: its reader reports that it cannot
// read, and the member's own reading leaves out the list, which is not due yet, so that its
// next reading is due at once.
func TestMemberThatReadsInPlaceOfReaderReadsList(t *testing.T) {
	is := is.New(t)
	n := newGroupNode(false)
	table := &changingTable{}
	n.source = table
	reported := time.Now()
	n.view.listAsOf, n.view.listRevision = reported.Add(-time.Millisecond), 7
	n.view.ordersAsOf, n.view.ordersRevision = n.view.listAsOf, 7
	n.view.outageAt, n.view.outageSince = reported, reported.Add(-time.Second)
	is.True(!n.nextReading(0).After(time.Now())) // the member's turn has come

	r := tableReader{node: n}
	is.True(r.read(withCause(context.Background(), CauseMember)))
	n.noteReading(true, CauseMember)
	is.Equal(table.lists, 1)
	is.True(n.actsAsReader()) // its next call waits for changes, as a reader's
}

// Fails if a member that misses its reader takes its own failed call for the reader's report of an
// outage, and leaves the table alone for longer than the bound on changes.
func TestMemberRetriesSoonAfterItsOwnFailedReading(t *testing.T) {
	is := is.New(t)
	n := newGroupNode(false)
	now := time.Now()
	n.startedAt = now.Add(-time.Minute)
	n.view.listAsOf, n.view.ordersAsOf, n.lastReadAt = now.Add(-2*time.Second), now.Add(-2*time.Second), now
	n.pushOutage(t.Context(), 1)
	is.True(n.nextReading(1).Sub(now) <= firstRetryDelay)
}
