package rollout

import (
	"slices"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// decideWithdrawals unloads withdrawn versions once what replaces them was
// seen where it is wanted, so that an operator who takes a withdrawal back
// finds the version still there while its successor is not.
func (m *Machine) decideWithdrawals(d *round) {
	for v := range m.plan.versions {
		if m.plan.versions[v].state != config.Withdrawn || m.tally.versions[v].held == 0 || !m.replaced(v) {
			continue
		}
		for _, e := range m.fleet.engines {
			if d.unloads <= 0 {
				return
			}
			if m.free(d, e) && e.holds(v) && m.mayUnload(e, v) {
				m.unload(d, e, v)
			}
		}
	}
}

// holds says that the engine has the version or loads it.
func (e *engine) holds(v int) bool { return slices.Contains(e.has, v) || slices.Contains(e.loading, v) }

// replaced says that the other versions of the model are where they are
// wanted.
func (m *Machine) replaced(withdrawn int) bool {
	for v := range m.plan.versions {
		c := &m.tally.versions[v]
		if m.plan.versions[v].model == m.plan.versions[withdrawn].model && m.ready(c) < c.demand {
			return false
		}
	}
	return true
}

// ready is how many engines can be counted on for a version.
func (m *Machine) ready(c *count) int {
	if m.guards.countComing {
		return c.ready + c.coming
	}
	return c.ready
}

// mayUnload says whether the engine may lose the version: as many others as
// are wanted were seen to have it, or it is withdrawn and nothing of it runs
// here any more.
func (m *Machine) mayUnload(e *engine, v int) bool {
	if m.plan.versions[v].state == config.Withdrawn {
		return m.withdrawnInForce() && m.drained(e)
	}
	c := &m.tally.versions[v]
	others := m.ready(c)
	if m.isReady(e, v) {
		others--
	}
	return others >= c.demand
}

// isReady says whether the engine is among the ready ones of the tally.
func (m *Machine) isReady(e *engine, v int) bool {
	return e.live && slices.Contains(e.has, v) && e.seen.After(m.now.Add(-m.seenFor())) && !e.unloading(v)
}

// withdrawnInForce says that no node admits work under an older configuration.
// Each revision is confirmed anew: a version may have been taken back and
// withdrawn again in between.
func (m *Machine) withdrawnInForce() bool {
	return m.guards.noInForce || m.confirmed == m.plan.revision && m.confirmed != 0
}

// drained says that nothing that was begun before the withdrawal was in force
// runs at the engine: it reported to be idle since, or the longest request has
// had its time.
func (m *Machine) drained(e *engine) bool {
	if m.guards.noInForce || e.idleAt.After(m.confirmedAt) {
		return true
	}
	return m.now.Sub(m.confirmedAt) >= max(m.settings.DrainFor, m.plan.longest)
}

// allowed says whether an order in hand may be sent now.
func (m *Machine) allowed(e *engine) bool {
	h := e.hand
	if h.version < 0 || !m.fresh {
		return false
	}
	if h.pending.Action == upstream.LoadVersion {
		return m.plan.versions[h.version].state != config.Withdrawn
	}
	return m.tally.swept && m.mayUnload(e, h.version) && m.stillDue(h.version)
}

// stillDue: an unload may have stood in the row while its driver was paused and
// engines with the successor were lost. Where room is short it is due anyway.
func (m *Machine) stillDue(v int) bool {
	return m.settings.Slots > 0 || m.plan.versions[v].state != config.Withdrawn || m.replaced(v)
}

func (m *Machine) askInForce() {
	if m.asking || m.plan == nil || m.confirmed == m.plan.revision || !m.plan.withdrawsAny() {
		return
	}
	if m.now.Sub(m.askedForce) < m.settings.ProofFor {
		return
	}
	m.asking, m.askedForce = true, m.now
	m.do(AskInForce{Revision: m.plan.revision})
}

func (m *Machine) inForceAnswered(ev InForceAnswer) {
	m.asking = false
	if ev.InForce && m.plan != nil && ev.Revision == m.plan.revision && m.holding() {
		m.confirmed, m.confirmedAt = ev.Revision, m.now
	}
}
