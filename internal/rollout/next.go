package rollout

import (
	"slices"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// nextRecord returns what the row should contain now, and whether that is worth a write
// of its own.
func (m *Machine) nextRecord() (Record, bool) {
	r := m.row.record
	r.Orders = make([]Pending, 0, len(m.row.record.Orders)+m.settings.InitialLoads)
	for i := range m.row.record.Orders {
		p := &m.row.record.Orders[i]
		if m.finished(p) {
			m.recordCompletedLoad(m.fleet.byID[p.Engine])
		} else if !m.giveUp(p) {
			r.Orders = append(r.Orders, *p)
		}
	}
	changed := len(r.Orders) != len(m.row.record.Orders)
	if m.mayDecide() {
		changed = m.decide(&r) || changed
	}
	changed = m.raiseTerm(&r) || changed
	changed = m.updateProgress(&r) || changed
	return r, changed
}

// mayDecide reports whether new orders may be decided. Until all engines were read,
// versions seem to be missing that are there.
func (m *Machine) mayDecide() bool {
	return m.fresh && m.plan.ordersAllowed && m.fleetCounts.swept && len(m.fleet.engines) > 0
}

// raiseTerm raises the fencing token in two cases. An order that was given up may still
// arrive: engines refuse it once they have seen a newer token. Or an engine has seen a
// higher token than the row's, as happens after the row was lost.
func (m *Machine) raiseTerm(r *Record) bool {
	term := r.Term
	if !m.abandonedAt.IsZero() && len(r.Orders) > 0 {
		term++
	}
	if m.fleetCounts.maxFence > term {
		term = m.fleetCounts.maxFence + 1
	}
	raised := term != r.Term
	r.Term = term
	return raised
}

// finished reports whether the engine's own state shows the order done. An
// acknowledgement is not enough: the load may fail, or the engine may crash and restart
// without the version. The next step would then rely on a version that is not there.
func (m *Machine) finished(p *Pending) bool {
	e := m.fleet.byID[p.Engine]
	if e == nil || e.order == nil || e.order.inFlight {
		return false
	}
	if m.disabled.doneOnAck && e.order.acknowledged {
		return true
	}
	if e.stateAt.IsZero() {
		return false
	}
	has := slices.Contains(e.state.Versions, p.Version)
	if p.Action == upstream.LoadVersion {
		return has
	}
	return !has && !slices.Contains(e.state.Loading, p.Version)
}

// giveUp reports whether the order is dropped from the row. One that was sent may still
// arrive: its effect then shows in the engine's state and is corrected from there.
func (m *Machine) giveUp(p *Pending) bool {
	e := m.fleet.byID[p.Engine]
	if e == nil || e.leaving || e.order == nil {
		m.abandonedAt = m.now
		return true
	}
	if e.order.inFlight {
		return false
	}
	drop := m.timedOut(e) || m.obsolete(e)
	if drop {
		m.recordFailedLoad(e)
		m.abandonedAt = m.now
		e.avoidUntil = m.now.Add(m.settings.OrderTimeout)
	}
	return drop
}

// timedOut reports whether the order has shown no effect for OrderTimeout: the engine
// does not answer, or cannot get the weights. Only a state read after the last send
// counts. Otherwise a load that failed and was sent again a moment ago would be given up,
// and one load too many would begin.
func (m *Machine) timedOut(e *engine) bool {
	if m.now.Sub(e.order.knownSince) < m.settings.OrderTimeout || !e.lastReadAt.After(e.order.sentAt) {
		return false
	}
	loading := e.live && e.stateAt.Add(m.settings.OrderTimeout).After(m.now) && slices.Contains(e.state.Loading, e.order.pending.Version)
	return !loading
}

// obsolete reports whether the configuration, or the engines that are left, no longer
// call for the order.
func (m *Machine) obsolete(e *engine) bool {
	if !m.fresh || !m.fleetCounts.swept {
		return false
	}
	o := e.order
	if o.version < 0 {
		return true
	}
	if o.pending.Action == upstream.LoadVersion {
		return m.plan.versions[o.version].state == config.Withdrawn
	}
	if m.plan.versions[o.version].state == config.Withdrawn {
		return false // it stays pending until the withdrawal is known to be in force
	}
	return !m.mayUnload(e, o.version)
}

// attachOrders makes the engines' pending orders match the row.
func (m *Machine) attachOrders() {
	if !m.holdsLease() {
		return
	}
	inRow := make(map[string]bool, len(m.row.record.Orders))
	for i := range m.row.record.Orders {
		p := m.row.record.Orders[i]
		inRow[p.Engine] = true
		m.attach(p)
	}
	for _, e := range m.fleet.engines {
		if e.order != nil && !inRow[e.id] {
			e.order = nil
		}
	}
}

func (m *Machine) attach(p Pending) {
	e := m.fleet.byID[p.Engine]
	if e == nil || e.order != nil && e.order.pending.equal(&p) {
		return
	}
	version := -1
	if m.plan != nil {
		version = m.plan.indexOf(p.Version)
	}
	e.order = &orderState{pending: p, version: version, knownSince: m.now}
}
