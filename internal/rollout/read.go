package rollout

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// readEngines asks engines for their state, at most Settings.ReadsPerSecond:
// those with an order in hand first, the others in turn.
func (m *Machine) readEngines() {
	if m.plan == nil {
		return
	}
	m.fillCredit()
	m.readHands()
	gap := m.settings.SeenFor / 4
	for range m.fleet.engines {
		if m.credit < 1 {
			return
		}
		e := m.fleet.engines[m.fleet.next%len(m.fleet.engines)]
		m.fleet.next++
		m.readEngine(e, gap)
	}
}

// readHands leaves half of the reads to the other engines: what is known of
// them must not grow too old to count while many loads run.
func (m *Machine) readHands() {
	left := max(1, m.credit/2)
	for range m.fleet.engines {
		if left < 1 || m.credit < 1 {
			return
		}
		e := m.fleet.engines[m.fleet.nextHand%len(m.fleet.engines)]
		m.fleet.nextHand++
		if e.hand == nil {
			continue
		}
		before := m.credit
		m.readEngine(e, m.settings.Tick)
		left -= before - m.credit
	}
}

func (m *Machine) fillCredit() {
	if m.ticked.IsZero() {
		m.ticked = m.now
	}
	earned := m.now.Sub(m.ticked).Seconds() * m.settings.ReadsPerSecond
	burst := max(1, m.settings.Tick.Seconds()*m.settings.ReadsPerSecond)
	m.credit = min(burst, m.credit+earned)
}

// readEngine begins a read unless one is out or the last was a moment ago.
func (m *Machine) readEngine(e *engine, gap time.Duration) {
	if e.out || m.now.Sub(e.asked) < gap {
		return
	}
	e.out, e.asked = true, m.now
	load := m.wantsLoad(e)
	m.credit--
	if load {
		m.credit--
	}
	m.do(ReadEngine{Engine: e.id, Addr: e.addr, Load: load, Began: m.now})
}

// wantsLoad says whether an idle moment of the engine is waited for.
func (m *Machine) wantsLoad(e *engine) bool {
	if m.confirmed != m.plan.revision || e.idleAt.After(m.confirmedAt) {
		return false
	}
	withdrawn := func(v int) bool { return m.plan.versions[v].state == config.Withdrawn }
	return slices.ContainsFunc(e.has, withdrawn) || slices.ContainsFunc(e.loading, withdrawn)
}

func (m *Machine) engineAnswered(ev EngineAnswer) {
	e := m.fleet.byID[ev.Engine]
	if e == nil || !e.out || !e.asked.Equal(ev.Began) {
		return
	}
	e.out = false
	e.tried = ev.Began
	if ev.Failed {
		return
	}
	e.seen = ev.Began
	e.state = ev.State
	m.resolve(e)
	if l := ev.Load; l != nil && l.Running+l.Queued == 0 {
		e.idleAt = ev.Began.Add(-time.Duration(l.AgeMillis) * time.Millisecond)
	}
}
