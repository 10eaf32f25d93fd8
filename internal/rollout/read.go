package rollout

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// readEngines reads the state of engines, at most Settings.ReadsPerSecond: those with a
// pending order first, the others in turn.
func (m *Machine) readEngines() {
	if m.plan == nil {
		return
	}
	m.refillReadCredit()
	m.readPendingOrders()
	gap := m.settings.StateTTL / 4
	for range m.fleet.engines {
		if m.readCredit < 1 {
			return
		}
		e := m.fleet.engines[m.fleet.nextRead%len(m.fleet.engines)]
		m.fleet.nextRead++
		m.readEngine(e, gap)
	}
}

// readPendingOrders reads engines with a pending order. It leaves half of the reads to
// the other engines, so that their states do not expire while many loads run.
func (m *Machine) readPendingOrders() {
	remaining := max(1, m.readCredit/2)
	for range m.fleet.engines {
		if remaining < 1 || m.readCredit < 1 {
			return
		}
		e := m.fleet.engines[m.fleet.nextPending%len(m.fleet.engines)]
		m.fleet.nextPending++
		if e.order == nil {
			continue
		}
		before := m.readCredit
		m.readEngine(e, m.settings.Tick)
		remaining -= before - m.readCredit
	}
}

// refillReadCredit adds the reads that were earned since the last tick, up to one tick's
// worth.
func (m *Machine) refillReadCredit() {
	if m.tickedAt.IsZero() {
		m.tickedAt = m.now
	}
	earned := m.now.Sub(m.tickedAt).Seconds() * m.settings.ReadsPerSecond
	burst := max(1, m.settings.Tick.Seconds()*m.settings.ReadsPerSecond)
	m.readCredit = min(burst, m.readCredit+earned)
}

// readEngine begins a read unless one is in flight or the last one began less than gap
// ago.
func (m *Machine) readEngine(e *engine, gap time.Duration) {
	if e.readInFlight || m.now.Sub(e.readStartedAt) < gap {
		return
	}
	e.readInFlight, e.readStartedAt = true, m.now
	load := m.wantsLoad(e)
	m.readCredit--
	if load {
		m.readCredit--
	}
	m.emit(ReadEngine{Engine: e.id, Addr: e.addr, Load: load, Began: m.now})
}

// wantsLoad reports whether the engine's load report is needed: it has a withdrawn
// version and has not been seen idle since the withdrawal is in force.
func (m *Machine) wantsLoad(e *engine) bool {
	if m.confirmedRevision != m.plan.revision || e.idleAt.After(m.confirmedAt) {
		return false
	}
	withdrawn := func(v int) bool { return m.plan.versions[v].state == config.Withdrawn }
	return slices.ContainsFunc(e.has, withdrawn) || slices.ContainsFunc(e.loading, withdrawn)
}

func (m *Machine) handleEngineAnswer(ev EngineAnswer) {
	e := m.fleet.byID[ev.Engine]
	if e == nil || !e.readInFlight || !e.readStartedAt.Equal(ev.Began) {
		return
	}
	e.readInFlight = false
	e.lastReadAt = ev.Began
	if ev.Failed {
		return
	}
	e.stateAt = ev.Began
	e.state = ev.State
	m.resolve(e)
	if l := ev.Load; l != nil && l.Running+l.Queued == 0 {
		e.idleAt = ev.Began.Add(-time.Duration(l.AgeMillis) * time.Millisecond)
	}
}
