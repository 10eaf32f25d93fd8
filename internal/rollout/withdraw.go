package rollout

import (
	"slices"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// decideWithdrawals unloads withdrawn versions once their replacements were seen on
// enough engines. An operator who takes a withdrawal back before that finds the version
// still loaded.
func (m *Machine) decideWithdrawals(d *decision) {
	for v := range m.plan.versions {
		if m.plan.versions[v].state != config.Withdrawn || m.fleetCounts.versions[v].present == 0 || !m.replaced(v) {
			continue
		}
		for _, e := range m.fleet.engines {
			if d.unloadBudget <= 0 {
				return
			}
			if m.available(d, e) && e.holds(v) && m.mayUnload(e, v) {
				m.unload(d, e, v)
			}
		}
	}
}

// holds reports whether the engine has the version or loads it.
func (e *engine) holds(v int) bool { return slices.Contains(e.has, v) || slices.Contains(e.loading, v) }

// replaced reports whether the other versions of the model are on enough engines.
func (m *Machine) replaced(withdrawn int) bool {
	for v := range m.plan.versions {
		c := &m.fleetCounts.versions[v]
		if m.plan.versions[v].model == m.plan.versions[withdrawn].model && m.countedOn(c) < c.demand {
			return false
		}
	}
	return true
}

// countedOn is how many engines are relied on to have the version.
func (m *Machine) countedOn(c *versionCount) int {
	if m.disabled.countLoading {
		return c.ready + c.loading
	}
	return c.ready
}

// mayUnload reports whether the engine may unload the version: enough other engines were
// seen to have it, or it is withdrawn and none of its requests run here any more.
func (m *Machine) mayUnload(e *engine, v int) bool {
	if m.plan.versions[v].state == config.Withdrawn {
		return m.withdrawnInForce() && m.drained(e)
	}
	c := &m.fleetCounts.versions[v]
	others := m.countedOn(c)
	if m.isReady(e, v) {
		others--
	}
	return others >= c.demand
}

// isReady reports whether the engine is among the ready ones of the counts.
func (m *Machine) isReady(e *engine, v int) bool {
	return e.live && slices.Contains(e.has, v) && e.stateAt.After(m.now.Add(-m.stateTTL())) && !e.orderedToUnload(v)
}

// withdrawnInForce reports whether no node admits work under an older configuration. Each
// revision has to be confirmed anew: a withdrawal may have been taken back and repeated
// in between.
func (m *Machine) withdrawnInForce() bool {
	return m.disabled.noInForceCheck || m.confirmedRevision == m.plan.revision && m.confirmedRevision != 0
}

// drained reports whether nothing that began before the withdrawal was in force runs at
// the engine. It reported to be idle since, or the longest request has reached its
// deadline.
func (m *Machine) drained(e *engine) bool {
	if m.disabled.noInForceCheck || e.idleAt.After(m.confirmedAt) {
		return true
	}
	return m.now.Sub(m.confirmedAt) >= max(m.settings.DrainTimeout, m.plan.maxDeadline)
}

// allowed reports whether a pending order may be sent now.
func (m *Machine) allowed(e *engine) bool {
	o := e.order
	if o.version < 0 || !m.fresh {
		return false
	}
	if o.pending.Action == upstream.LoadVersion {
		return m.plan.versions[o.version].state != config.Withdrawn
	}
	return m.fleetCounts.swept && m.mayUnload(e, o.version) && m.unloadDue(o.version)
}

// unloadDue reports whether an unload that is pending may still be sent. Its driver may
// have been paused while engines with the successor were lost; then it waits until the
// version is replaced again. Where slots are limited it does not wait, since it makes the
// room for the successor.
func (m *Machine) unloadDue(v int) bool {
	return m.settings.Slots > 0 || m.plan.versions[v].state != config.Withdrawn || m.replaced(v)
}

func (m *Machine) askInForce() {
	if m.inForceAskPending || m.plan == nil || m.confirmedRevision == m.plan.revision || !m.plan.hasWithdrawn() {
		return
	}
	if m.now.Sub(m.inForceAskedAt) < m.settings.OwnershipTTL {
		return
	}
	m.inForceAskPending, m.inForceAskedAt = true, m.now
	m.emit(AskInForce{Revision: m.plan.revision})
}

func (m *Machine) handleInForceAnswer(ev InForceAnswer) {
	m.inForceAskPending = false
	if ev.InForce && m.plan != nil && ev.Revision == m.plan.revision && m.holdsLease() {
		m.confirmedRevision, m.confirmedAt = ev.Revision, m.now
	}
}
