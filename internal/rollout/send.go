package rollout

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// farFuture stands for no limit.
const farFuture = 100 * 365 * 24 * time.Hour

// send sends the pending orders that are due. The row must have been this node's within
// OwnershipTTL, by this node's monotonic clock. A node that was paused finds that time
// exceeded and reads the row again. One that is paused after this check is stopped by
// SendOrder.Before. An order that is delayed on the network is refused by engines that
// honour the fencing token. At other engines the next holder sees its effect in the
// engine's state and corrects it.
func (m *Machine) send() {
	for _, e := range m.fleet.engines {
		if e.order == nil || !m.due(e) || !m.allowed(e) {
			continue
		}
		if !m.disabled.noOwnershipCheck && m.now.Sub(m.row.ownedAt) >= m.settings.OwnershipTTL {
			if !m.row.callInFlight {
				m.readRow()
			}
			return
		}
		m.sendTo(e)
	}
}

func (m *Machine) sendTo(e *engine) {
	o := e.order
	m.recordFailedLoad(e)
	if o.loadStartedAt.IsZero() {
		o.loadStartedAt = m.now
	}
	o.sentAt, o.inFlight = m.now, true
	before := m.row.ownedAt.Add(m.settings.OwnershipTTL)
	revision := m.plan.revision
	if m.disabled.noOwnershipCheck {
		before = m.now.Add(farFuture)
	}
	if m.disabled.noRevisionCheck {
		revision = 0
	}
	m.emit(SendOrder{
		Engine:   e.id,
		Addr:     e.addr,
		Order:    upstream.Order{Fence: m.row.term, Action: o.pending.Action, Version: o.pending.Version},
		Before:   before,
		Revision: revision,
		Began:    m.now,
	})
}

// due reports whether the order should be sent, for the first time or again: it was not
// acknowledged, or a state read since shows no effect. Orders are idempotent at the
// engine.
func (m *Machine) due(e *engine) bool {
	o := e.order
	if o.inFlight || !e.live || m.finished(&o.pending) || m.timedOut(e) {
		return false
	}
	if o.sentAt.IsZero() {
		return true
	}
	if m.now.Sub(o.sentAt) < m.resendInterval() {
		return false
	}
	loading := o.pending.Action == upstream.LoadVersion && slices.Contains(e.state.Loading, o.pending.Version)
	return !o.acknowledged || e.stateAt.After(o.sentAt) && !loading
}

// resendInterval leaves time for two reads of the engine's state.
func (m *Machine) resendInterval() time.Duration { return m.settings.CallTimeout + 2*m.settings.Tick }

func (m *Machine) handleOrderAnswer(ev OrderAnswer) {
	e := m.fleet.byID[ev.Engine]
	if e == nil || e.order == nil || !e.order.inFlight || !e.order.sentAt.Equal(ev.Began) {
		return
	}
	e.order.inFlight = false
	switch ev.Result {
	case OrderAccepted:
		e.order.acknowledged = true
	case OrderUnknown:
		m.abandonedAt = m.now
	case OrderStale:
		// Another node holds a later term, or the engine has seen a token of a row that
		// was lost. The row and the engine's state show which.
		m.row.ownedAt = time.Time{}
		m.row.needsRead = true
	case OrderNotSent:
	}
	if m.disabled.doneOnAck && ev.Result == OrderAccepted {
		m.advanceIfHolding()
	}
}
