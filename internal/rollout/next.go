package rollout

import (
	"slices"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// next is what the row should say now, and whether that is worth a write.
func (m *Machine) next() (Record, bool) {
	r := m.row.record
	r.Orders = make([]Pending, 0, len(m.row.record.Orders)+m.settings.LoadsAtOnce)
	for i := range m.row.record.Orders {
		p := &m.row.record.Orders[i]
		if m.finished(p) {
			m.noteLoaded(m.fleet.byID[p.Engine])
		} else if !m.abandoned(p) {
			r.Orders = append(r.Orders, *p)
		}
	}
	changed := len(r.Orders) != len(m.row.record.Orders)
	if m.mayMove() {
		changed = m.decide(&r) || changed
	}
	changed = m.raiseTerm(&r) || changed
	changed = m.report(&r) || changed
	return r, changed
}

// mayMove says whether new orders may be decided. Before all engines were
// asked, versions would look missing that are there.
func (m *Machine) mayMove() bool {
	return m.fresh && m.plan.move && m.tally.swept && len(m.fleet.engines) > 0
}

// raiseTerm takes a higher fencing number when an order may still be on its
// way, so that engines refuse it once they have seen a newer one; and when
// engines have seen a higher one than the row's, as after the row was lost.
func (m *Machine) raiseTerm(r *Record) bool {
	term := r.Term
	if !m.doubtAt.IsZero() && len(r.Orders) > 0 {
		term++
	}
	if m.tally.fence > term {
		term = m.tally.fence + 1
	}
	raised := term != r.Term
	r.Term = term
	return raised
}

// finished says that the engine's own state shows the order done. An
// acknowledgement is not enough: the engine may lose the weights on their way,
// or crash and come back without them, and the next step would count on a
// version that is not there.
func (m *Machine) finished(p *Pending) bool {
	e := m.fleet.byID[p.Engine]
	if e == nil || e.hand == nil || e.hand.out {
		return false
	}
	if m.guards.doneOnAck && e.hand.taken {
		return true
	}
	if e.seen.IsZero() {
		return false
	}
	has := slices.Contains(e.state.Versions, p.Version)
	if p.Action == upstream.LoadVersion {
		return has
	}
	return !has && !slices.Contains(e.state.Loading, p.Version)
}

// abandoned says that the order is not to be followed any more. One that was
// sent may still arrive: what it does is seen in the engine's state and put
// right from there.
func (m *Machine) abandoned(p *Pending) bool {
	e := m.fleet.byID[p.Engine]
	if e == nil || e.leaving || e.hand == nil {
		m.doubtAt = m.now
		return true
	}
	if e.hand.out {
		return false
	}
	gone := m.lost(e) || m.unwanted(e)
	if gone {
		m.noteVain(e)
		m.doubtAt = m.now
		e.avoidUntil = m.now.Add(m.settings.Patience)
	}
	return gone
}

// lost says that the order has shown no effect for too long: the engine does
// not answer, or cannot get the weights. What the engine showed before the last
// send says nothing: a load that failed and was ordered again a moment ago would be
// taken for lost, and one load too many begun.
func (m *Machine) lost(e *engine) bool {
	if m.now.Sub(e.hand.since) < m.settings.Patience || !e.tried.After(e.hand.sentAt) {
		return false
	}
	working := e.live && e.seen.Add(m.settings.Patience).After(m.now) && slices.Contains(e.state.Loading, e.hand.pending.Version)
	return !working
}

// unwanted says that the configuration, or what is left of the fleet, speaks
// against the order by now.
func (m *Machine) unwanted(e *engine) bool {
	if !m.fresh || !m.tally.swept {
		return false
	}
	h := e.hand
	if h.version < 0 {
		return true
	}
	if h.pending.Action == upstream.LoadVersion {
		return m.plan.versions[h.version].state == config.Withdrawn
	}
	if m.plan.versions[h.version].state == config.Withdrawn {
		return false // it waits until the withdrawal is known to be in force
	}
	return !m.mayUnload(e, h.version)
}

// attachHands brings the engines' orders in hand in step with the row.
func (m *Machine) attachHands() {
	if !m.holding() {
		return
	}
	kept := make(map[string]bool, len(m.row.record.Orders))
	for i := range m.row.record.Orders {
		p := m.row.record.Orders[i]
		kept[p.Engine] = true
		m.attach(p)
	}
	for _, e := range m.fleet.engines {
		if e.hand != nil && !kept[e.id] {
			e.hand = nil
		}
	}
}

func (m *Machine) attach(p Pending) {
	e := m.fleet.byID[p.Engine]
	if e == nil || e.hand != nil && e.hand.pending.same(&p) {
		return
	}
	version := -1
	if m.plan != nil {
		version = m.plan.find(p.Version)
	}
	e.hand = &hand{pending: p, version: version, since: m.now}
}
