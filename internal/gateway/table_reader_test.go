package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/revision"
)

// slowOrdersTable answers calls for operator orders after a delay, or with an error.
type slowOrdersTable struct {
	oneRoute
	delay time.Duration
	err   error
	calls int
}

func (t *slowOrdersTable) Orders(context.Context, revision.Revision, time.Duration) (OrdersChange, error) {
	t.calls++
	time.Sleep(t.delay)
	return OrdersChange{Revision: 9}, t.err
}

func (*slowOrdersTable) Fleet(context.Context, revision.Revision) (FleetChange, error) {
	return FleetChange{Revision: 8, Put: []fleet.Record{}}, nil
}

// Fails if a node that reads the table takes the result of an earlier, slow reading for one of the
// table as it is now, and misses the operator orders of the time between.
func TestReadingAfterASlowOneReadsOrders(t *testing.T) {
	for name, err := range map[string]error{"succeeded": nil, "failed": context.DeadlineExceeded} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newGroupNode(false)
				n.view.listAsOf, n.view.listRevision = time.Now(), 7
				n.view.ordersAsOf, n.view.ordersRevision = time.Now(), 7
				table := &slowOrdersTable{delay: time.Second, err: err}
				n.source = table
				r := tableReader{node: n}
				time.Sleep(2 * time.Second)
				is.True(r.read(withCause(t.Context(), CauseMember))) // the list; the orders are slow
				is.True(isTransferring(n))
				time.Sleep(4 * time.Second)
				synctest.Wait()
				is.True(!isTransferring(n)) // peers are not kept waiting for what has ended
				table.delay, table.err = 0, nil
				is.True(r.read(withCause(t.Context(), CauseMember)))
				is.Equal(table.calls, 2)
				is.True(n.view.ordersAsOf.Equal(time.Now()))
			})
		})
	}
}

func isTransferring(n *Node) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.transferring
}
