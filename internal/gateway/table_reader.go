package gateway

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/revision"
)

// tableReader reads the table for one node.
//
// An answer may take long because it is large. Meanwhile tableReader reads the list of
// upstreams, and the group is informed that a transfer is in progress. Otherwise, while a
// reader on 10 Mbit/s took 533 kB of configuration, its group received nothing, and all
// members read the same from the table: 658 kB per node.
type tableReader struct {
	node *Node
	// orders receives the result of the reading of operator orders in progress; nil for
	// none.
	orders chan ordersResult
}

// ordersResult is the result of a reading of operator orders, and when it ended.
type ordersResult struct {
	ok      bool
	endedAt time.Time
}

const (
	// pendingAfter is how much later than usual an answer comes before it counts as a large
	// one in transfer.
	pendingAfter = 150 * time.Millisecond
	// listMargin is how long before it is due the list is read together with operator
	// orders.
	listMargin = 50 * time.Millisecond
	// largeConfigBytes is the size of a configuration from which its transfer may take so
	// long that a newer one may have been made meanwhile.
	largeConfigBytes = 64 << 10
)

// read reads what has changed in the table; it reports whether it could. A reader waits for
// operator orders first, to learn of them at once. The list of upstreams changes all the
// time and is read at its own interval.
func (r *tableReader) read(ctx context.Context) bool {
	n := r.node
	n.mu.Lock()
	n.lastReadAt = time.Now()
	first := n.view.ordersAsOf.IsZero()
	n.mu.Unlock()
	r.startOrders(ctx)
	// The first list waits for the first orders. Otherwise a version without a known order
	// would count as one that may serve.
	ok, finished := r.awaitOrders(first)
	switch {
	case finished && !ok:
		return false
	case finished && n.listIsFresh():
		return true
	}
	return n.readUpstreams(ctx)
}

// startOrders starts a reading of operator orders, unless an earlier one is in progress or has
// only just succeeded. An older result says nothing of the table now: the node may have been
// informed by others since.
func (r *tableReader) startOrders(ctx context.Context) {
	n := r.node
	select {
	case earlier := <-r.orders:
		if !earlier.ok || time.Since(earlier.endedAt) >= n.readInterval() {
			r.orders = nil
		} else {
			r.orders <- earlier
		}
	default:
	}
	if r.orders != nil {
		return
	}
	r.orders = make(chan ordersResult, 1)
	go func(done chan<- ordersResult) {
		ok := n.readOrders(ctx)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.view.transferring = false
		done <- ordersResult{ok, time.Now()}
	}(r.orders)
}

// listIsFresh reports whether the list needs no reading after one of operator orders.
//
// It saves half of a reader's calls. Each write to the table gives it a newer revision, so
// operator orders as of the list's revision also prove the list. While operator orders
// change continuously, a reader reads the list at its own interval. A node that reads
// because its reader cannot reads both: without the list its next reading would be due at once.
func (n *Node) listIsFresh() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view.listRevision == 0 {
		return false
	}
	if n.view.ownOrdersRevision == n.view.listRevision {
		n.advanceList(n.view.ordersAsOf, n.view.ordersClock)
		n.view.ownListAsOf = n.view.listAsOf
		return true
	}
	if !n.readsTable() && !n.actsAsReader() {
		return false
	}
	return time.Until(n.view.listAsOf.Add(n.readerInterval())) > listMargin
}

// awaitOrders waits for the reading of operator orders, but no longer than until the list
// is due unless required is set. came reports whether the reading ended, ok whether it
// succeeded.
func (r *tableReader) awaitOrders(required bool) (ok, finished bool) {
	n := r.node
	n.mu.Lock()
	due := later(time.Now(), n.view.listAsOf.Add(n.readerInterval())).Add(pendingAfter)
	n.mu.Unlock()
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	expired := timer.C
	if required {
		expired = nil
	}
	select {
	case result := <-r.orders:
		r.orders = nil
		return result.ok, true
	case <-expired:
		n.mu.Lock()
		defer n.mu.Unlock()
		if len(r.orders) == 0 {
			n.view.ordersPendingAt, n.view.transferring = time.Now(), true
		}
		return false, false
	}
}

// wait waits for the reading in progress, after its context has ended.
func (r *tableReader) wait() {
	if r.orders != nil {
		<-r.orders
	}
}

// readOrders reads the operator orders that have changed; it reports whether it could. A
// large answer was current when its transfer began, so the orders are then read once more.
func (n *Node) readOrders(ctx context.Context) bool {
	n.mu.Lock()
	wait := time.Duration(0)
	if (n.readsTable() || n.actsAsReader()) && n.view.ordersRevision > 0 && !n.sourceHealth.down {
		wait = max(time.Until(n.view.listAsOf.Add(n.readerInterval())), 0)
	}
	starts := n.view.ordersRevision == 0 && !n.crashRecord.loaded
	n.mu.Unlock()
	var loading conc.WaitGroup
	defer loading.Wait()
	if starts {
		loading.Go(func() { n.loadCrashRecord(ctx) })
	}
	read, clock := revision.Revision(0), time.Duration(0)
	for {
		began := time.Now()
		n.mu.Lock()
		after, first := n.ordersAfter(began), n.view.ordersRevision == 0
		n.mu.Unlock()
		orders, err := n.fetchOrders(ctx, after, wait)
		n.sourceResult("orders", err)
		if err != nil || !n.noteReadingEra(orders.Revision, time.Now()) {
			return false
		}
		loading.Wait() // this node must not serve before it knows which requests crash upstreams
		n.applyOrdersChange(ctx, orders, first, wait > 0)
		if after == 0 {
			n.noteOrdersReadWhole(began)
		}
		read, clock = orders.Revision, orders.Clock
		if len(orders.Config) < largeConfigBytes || orders.Revision <= after {
			break
		}
		wait = 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.advanceOrders(time.Now(), clock)
	n.view.ownOrdersRevision = read
	return true
}

// advanceOrders records that the node knows the operator orders as of the time at, when the
// table's clock showed clock; the caller holds mu.
func (n *Node) advanceOrders(at time.Time, clock time.Duration) {
	n.view.ordersClock = clock
	n.view.ordersAsOf = later(n.view.ordersAsOf, at)
}

// readUpstreams reads what has changed in the list of upstreams; it reports whether it
// could.
func (n *Node) readUpstreams(ctx context.Context) bool {
	n.mu.Lock()
	after := n.view.listRevision
	n.mu.Unlock()
	began := time.Now()
	change, err := n.fetchFleet(ctx, after)
	n.sourceResult("upstreams", err)
	if err != nil || !n.noteReadingEra(change.Revision, time.Now()) {
		return false
	}
	n.mu.Lock()
	n.tableClock.observe(change.Clock, began, time.Now())
	n.mu.Unlock()
	var listed []fleet.Record
	if change.Complete && after == 0 {
		listed = n.loadSnapshot(ctx)
	}
	n.applyFleet(change, began)
	n.mu.Lock()
	defer n.mu.Unlock()
	if change.Revision.Era() < n.view.era {
		return false // a peer has reported a restore meanwhile
	}
	n.retainMissing(listed, began)
	n.advanceList(began, change.Clock)
	n.view.ownListAsOf = began
	return true
}
