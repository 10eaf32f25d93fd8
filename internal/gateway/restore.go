package gateway

import (
	"log/slog"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/evacuation"
	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/revision"
)

// The table may be restored from an older copy of itself. It then lacks what was written since,
// and gives versions out again. Operators and upstreams write again what they wrote, within
// restoreWindow; what nodes wrote is lost. The table's era tells its histories apart. A node that
// learns of a later era takes nothing from an earlier one any more.

// restoreWindow is how long after a restore the table may lack what operators and upstreams have
// written before.
const restoreWindow = 2500 * time.Millisecond

// noteEra records the era of a reading, by this node or a peer. It reports whether the reading
// is of the latest known era: others must not be used. The caller holds mu.
func (n *Node) noteEra(r revision.Revision, now time.Time) (latest bool) {
	era := r.Era()
	switch {
	case !n.view.eraKnown:
		n.view.era, n.view.eraKnown = era, true
		n.crashGuard.SetEra(era)
		return true
	case era <= n.view.era:
		return era == n.view.era
	}
	n.view.era, n.view.restoredAt = era, now
	n.view.gaplessSince = now // the list is read often until all entries are back
	n.fleet.NoteRestore(now)
	n.crashGuard.SetEra(era)
	n.tableClock = tableClock{}
	wake(n.crashRecordNews)
	event.TableRestored.Log(n.log, slog.Uint64("era", era), slog.Uint64("list_version", n.view.listRevision.Version()),
		slog.Uint64("orders_version", n.view.ordersRevision.Version()), slog.Uint64("version", r.Version()))
	return true
}

// noteReadingEra is noteEra for a reading of the table.
func (n *Node) noteReadingEra(r revision.Revision, now time.Time) (latest bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.noteEra(r, now)
}

// noteProofEra records the era of a peer's readings. The caller holds mu.
func (n *Node) noteProofEra(p *gossip.Proof, now time.Time) {
	for _, read := range []revision.Revision{p.ListRead, p.OrdersRead} {
		if read != 0 {
			n.noteEra(read, now)
		}
	}
}

// isRestoring reports whether the table may still lack what operators and upstreams have written
// before its restore. The caller holds mu.
func (n *Node) isRestoring(now time.Time) bool {
	return !n.view.restoredAt.IsZero() && now.Sub(n.view.restoredAt) < restoreWindow
}

// isListNewer reports whether a reading of the list, at a revision and at a time of the table's
// own clock, is newer than this node's. The clock orders the readings of one era only. The
// caller holds mu.
func (n *Node) isListNewer(r revision.Revision, clock time.Duration) bool {
	if r.Era() != n.view.listRevision.Era() {
		return r.Era() > n.view.listRevision.Era()
	}
	return clock > n.view.listClock
}

// areOrdersNewer is isListNewer for operator orders. The caller holds mu.
func (n *Node) areOrdersNewer(r revision.Revision, clock time.Duration) bool {
	if r.Era() != n.view.ordersRevision.Era() {
		return r.Era() > n.view.ordersRevision.Era()
	}
	return clock > n.view.ordersClock
}

// isFirstOfEra reports whether a reading of the list is this node's first of a later era. What it
// lacks may have started after the copy was made. The caller holds mu.
func (n *Node) isFirstOfEra(r revision.Revision) bool {
	return n.view.listRevision > 0 && r.Era() > n.view.listRevision.Era()
}

// renewRollout applies another revision of a known order: the operator wrote it again after a
// restore of the table. It reports whether o is such an order. The caller holds mu.
func (n *Node) renewRollout(o canary.Order) bool {
	known := n.canary.Revision(o.Service)
	rewritten := o.Revision.Era() > known.Era() || time.Since(n.view.restoredAt) < restoreWindow+n.readInterval()
	if known == 0 || !rewritten || !n.canary.Renew(o) {
		return false
	}
	for i := range n.rollouts {
		if n.rollouts[i].Service == o.Service {
			n.rollouts[i].Revision = o.Revision
		}
	}
	return true
}

// replacesRollout reports whether an order of the table names another version than the known
// order of its service. The caller holds mu.
func (n *Node) replacesRollout(o canary.Order) bool {
	target := n.canary.Target(o.Service)
	return target != "" && target != o.Target
}

// withoutOutdated returns the evacuation orders of a reading. While the table may lack the end of
// an order, one that is known to have ended is left out. The caller holds mu.
func (n *Node) withoutOutdated(orders []evacuation.Order, restoring bool) []evacuation.Order {
	if !restoring {
		return orders
	}
	return slices.DeleteFunc(slices.Clone(orders), func(o evacuation.Order) bool { return !o.Ended && n.evacuations.HasEnded(o.Domain) })
}

// ordersAfter returns the revision after which operator orders are read: 0, once, when a restore
// of the table is over. Only a reading of all orders shows which are gone. The caller holds mu.
func (n *Node) ordersAfter(now time.Time) revision.Revision {
	if n.view.restoredAt.After(n.view.ordersReadWholeAt) && !n.isRestoring(now) {
		return 0
	}
	return n.view.ordersRevision
}

// noteOrdersReadWhole records that all operator orders were read by a call that began at a time.
func (n *Node) noteOrdersReadWhole(began time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.isRestoring(began) {
		n.view.ordersReadWholeAt = began
	}
}

// takeRejoin reports whether the table has lost what nodes wrote since the last call: this node
// has to record itself again.
func (n *Node) takeRejoin() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	due := n.view.restoredAt.After(n.view.rejoinedAt)
	n.view.rejoinedAt = n.view.restoredAt
	return due
}

// lastRestore returns when the table was last known to be restored.
func (n *Node) lastRestore() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.restoredAt
}
