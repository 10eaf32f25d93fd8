package gateway

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/fleet"
)

// tableReader reads the table for one node.
//
// It guards against an answer that takes long because it is large: the list of
// upstreams is read meanwhile, and the group is told that the reader is at it. Without
// that, while a reader on 10 Mbit/s took 533 kB of configuration, its group heard
// nothing, and all of its members took the same from the table: 658 kB a node.
type tableReader struct {
	node *Node
	// orders is the reading of operators' changes that is under way; nil for none.
	orders chan bool
}

const (
	// pendingAfter is how much later than usual an answer comes before it counts as
	// a large one that is on its way.
	pendingAfter = 150 * time.Millisecond
	// listMargin is how long before its time the list is read beside operators' changes.
	listMargin = 50 * time.Millisecond
	// largeChange is the size of a configuration, in bytes, from which its transfer
	// may take so long that the next may have been made meanwhile.
	largeChange = 64 << 10
)

// read reads what has changed in the table; it reports whether it could. A reader
// first waits for operators' changes, so that it learns of them at once; the list of
// upstreams changes all the time and is read at its pace.
func (r *tableReader) read(ctx context.Context) bool {
	n := r.node
	n.mu.Lock()
	n.readAt = time.Now()
	first := n.list.ordersProvenAt.IsZero()
	n.mu.Unlock()
	if r.orders == nil {
		r.orders = make(chan bool, 1)
		go func(done chan<- bool) { done <- n.readOrders(ctx) }(r.orders)
	}
	// The first list waits for the first orders: a version that nobody is known to
	// have ordered would count as one of those that may serve.
	ok, came := r.await(first)
	switch {
	case came && !ok:
		return false
	case came && n.listStands():
		return true
	}
	return n.readUpstreams(ctx)
}

// listStands tells whether the list needs no reading after one of operators' changes.
//
// It spares half of a reader's calls: whatever is written to the table gives it a newer
// revision, so that operators' changes as of the list's revision prove the list as well.
// Where operators' changes come one after the other, the list is read at its own pace.
func (n *Node) listStands() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.list.revision == 0 {
		return false
	}
	if n.list.readOrders == n.list.revision {
		n.listProven(n.list.ordersProvenAt, n.list.ordersClock)
		return true
	}
	return time.Until(n.list.provenAt.Add(n.pace())) > listMargin
}

// await waits for the reading of operators' changes, until the list is due unless
// it has to come; it returns whether it came, and whether it was good.
func (r *tableReader) await(must bool) (ok, came bool) {
	n := r.node
	n.mu.Lock()
	due := later(time.Now(), n.list.provenAt.Add(n.pace())).Add(pendingAfter)
	n.mu.Unlock()
	over := time.NewTimer(time.Until(due))
	defer over.Stop()
	expired := over.C
	if must {
		expired = nil
	}
	select {
	case ok = <-r.orders:
		r.orders = nil
		n.mu.Lock()
		n.list.transfers = false
		n.mu.Unlock()
		return ok, true
	case <-expired:
		n.mu.Lock()
		defer n.mu.Unlock()
		n.list.ordersPendingAt, n.list.transfers = time.Now(), true
		return false, false
	}
}

// end waits for what is under way, after its context has ended.
func (r *tableReader) end() {
	if r.orders != nil {
		<-r.orders
	}
}

// readOrders reads what operators have changed; it reports whether it could. What came
// with a large change was true when its transfer began: it is read once more.
func (n *Node) readOrders(ctx context.Context) bool {
	n.mu.Lock()
	wait := time.Duration(0)
	if n.reads() && n.list.orders > 0 && !n.sources.down {
		wait = max(time.Until(n.list.provenAt.Add(n.pace())), 0)
	}
	n.mu.Unlock()
	revision, clock := uint64(0), time.Duration(0)
	for {
		n.mu.Lock()
		after := n.list.orders
		n.mu.Unlock()
		orders, err := n.fetchOrders(ctx, after, wait)
		n.sourceResult("orders", err)
		if err != nil {
			return false
		}
		n.takeOrdersChange(ctx, orders, after == 0, wait > 0)
		revision, clock = orders.Revision, orders.Clock
		if len(orders.Config) < largeChange || orders.Revision <= after {
			break
		}
		wait = 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ordersProven(time.Now(), clock)
	n.list.readOrders = revision
	return true
}

// ordersProven notes that what the node knows of operators' changes is as of a time, and
// of the table's clock then; the caller holds mu.
func (n *Node) ordersProven(at time.Time, clock time.Duration) {
	n.list.ordersClock = clock
	n.list.ordersProvenAt = later(n.list.ordersProvenAt, at)
}

// readUpstreams reads what has changed in the list of upstreams; it reports whether it
// could.
func (n *Node) readUpstreams(ctx context.Context) bool {
	n.mu.Lock()
	after := n.list.revision
	n.mu.Unlock()
	began := time.Now()
	change, err := n.fetchFleet(ctx, after)
	n.sourceResult("upstreams", err)
	if err != nil {
		return false
	}
	var listed []fleet.Record
	if change.Whole && after == 0 {
		listed = n.loadSnapshot(ctx)
	}
	n.applyFleet(change, began)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.keepLapsed(listed, began)
	n.listProven(began, change.Clock)
	return true
}
