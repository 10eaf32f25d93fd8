package gateway

import (
	"log/slog"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/revision"
)

// The table may be restored from an older copy of itself. It then lacks what was written since,
// and gives versions out again. Operators and upstreams write again what they wrote; what
// nodes wrote is lost. The table's era tells its histories apart. A node that
// learns of a later era takes nothing from an earlier one any more.

// noteEra records the era of a reading, by this node or a peer. It reports whether the reading
// is of the latest known era: others must not be used. The caller holds mu.
func (n *Node) noteEra(r revision.Revision, now time.Time) (latest bool) {
	era := r.Era()
	if era <= n.view.era {
		return era == n.view.era
	}
	restored := n.view.eraKnown
	n.view.era, n.view.eraKnown = era, true
	if !restored {
		return true
	}
	n.view.restoredAt = now
	n.view.gaplessSince = now // the list is read often until all entries are back
	n.fleet.NoteRestore(now)
	event.TableRestored.Log(n.log, slog.Uint64("era", era), slog.Uint64("list_version", n.view.listRevision.Version()),
		slog.Uint64("orders_version", n.view.ordersRevision.Version()), slog.Uint64("version", r.Version()))
	return true
}

// noteReadingEra is noteEra for a reading of the table.
func (n *Node) noteReadingEra(r revision.Revision, now time.Time) (latest bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.view.eraKnown {
		n.view.era, n.view.eraKnown = r.Era(), true
	}
	return n.noteEra(r, now)
}

// noteProofEra records the era of a peer's readings. The caller holds mu.
func (n *Node) noteProofEra(p *gossip.Proof, now time.Time) {
	for _, read := range []revision.Revision{p.ListRead, p.OrdersRead} {
		if read == 0 {
			continue
		}
		if !n.view.eraKnown {
			n.view.era, n.view.eraKnown = read.Era(), true
		}
		n.noteEra(read, now)
	}
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
