package rollout

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// farFuture stands for no limit.
const farFuture = 100 * 365 * 24 * time.Hour

// send gives out the orders in hand that are due. The row must have been seen
// to be this node's a moment ago, by this node's monotonic clock: a node that
// was paused finds the proof too old and reads the row again, and one that is
// paused between here and the wire finds it at Before. What is paused on the
// wire itself is refused by engines that honour the fencing number; at others
// the next holder sees it in the engine's state and puts it right.
func (m *Machine) send() {
	for _, e := range m.fleet.engines {
		if e.hand == nil || !m.due(e) || !m.allowed(e) {
			continue
		}
		if !m.guards.noProof && m.now.Sub(m.row.proof) >= m.settings.ProofFor {
			if !m.row.busy {
				m.readRow()
			}
			return
		}
		m.sendTo(e)
	}
}

func (m *Machine) sendTo(e *engine) {
	h := e.hand
	m.noteVain(e)
	if h.began.IsZero() {
		h.began = m.now
	}
	h.sentAt, h.out = m.now, true
	before := m.row.proof.Add(m.settings.ProofFor)
	revision := m.plan.revision
	if m.guards.noProof {
		before = m.now.Add(farFuture)
	}
	if m.guards.noRevision {
		revision = 0
	}
	m.do(SendOrder{
		Engine:   e.id,
		Addr:     e.addr,
		Order:    upstream.Order{Fence: m.row.term, Action: h.pending.Action, Version: h.pending.Version},
		Before:   before,
		Revision: revision,
		Began:    m.now,
	})
}

// due says whether the order should be sent, for the first time or again: it
// was not acknowledged, or a state read since shows nothing of it. Orders are
// idempotent at the engine.
func (m *Machine) due(e *engine) bool {
	h := e.hand
	if h.out || !e.live || m.finished(&h.pending) || m.lost(e) {
		return false
	}
	if h.sentAt.IsZero() {
		return true
	}
	if m.now.Sub(h.sentAt) < m.resendGap() {
		return false
	}
	loading := h.pending.Action == upstream.LoadVersion && slices.Contains(e.state.Loading, h.pending.Version)
	return !h.taken || e.seen.After(h.sentAt) && !loading
}

// resendGap leaves time for two reads of the engine's state.
func (m *Machine) resendGap() time.Duration { return m.settings.CallTimeout + 2*m.settings.Tick }

func (m *Machine) orderAnswered(ev OrderAnswer) {
	e := m.fleet.byID[ev.Engine]
	if e == nil || e.hand == nil || !e.hand.out || !e.hand.sentAt.Equal(ev.Began) {
		return
	}
	e.hand.out = false
	switch ev.Result {
	case OrderTaken:
		e.hand.taken = true
	case OrderInDoubt:
		m.doubtAt = m.now
	case OrderStale:
		// Somebody holds a later term, or the engine remembers one of a row that
		// is no more: the row and the engine's state tell which.
		m.row.proof = time.Time{}
		m.row.unsure = true
	case OrderNotSent:
	}
	if m.guards.doneOnAck && ev.Result == OrderTaken {
		m.advanceHeld()
	}
}
