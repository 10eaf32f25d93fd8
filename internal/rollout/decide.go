package rollout

import (
	"cmp"
	"slices"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// decision is the working state of one call of decide.
type decision struct {
	record *Record
	// assigned are the engines that got an order in this decision.
	assigned map[*engine]bool
	// loadBudget and unloadBudget are how many more loads and unloads may be decided.
	loadBudget   int
	unloadBudget int
}

// decide adds new orders to the record. Loads go before unloads, so that a version's
// successor is loaded first.
func (m *Machine) decide(r *Record) bool {
	before := len(r.Orders)
	loads := r.loads()
	d := &decision{
		record:       r,
		assigned:     map[*engine]bool{},
		loadBudget:   m.loadLimit() - loads - m.fleetCounts.untrackedLoads,
		unloadBudget: m.maxLoads() - (before - loads),
	}
	for _, v := range m.underProvisioned() {
		m.decideLoads(d, v)
	}
	m.decideWithdrawals(d)
	return len(r.Orders) > before
}

// underProvisioned returns the versions on too few engines, those with the lowest
// coverage first.
func (m *Machine) underProvisioned() []int {
	var list []int
	for v := range m.fleetCounts.versions {
		if m.fleetCounts.versions[v].missing() > 0 {
			list = append(list, v)
		}
	}
	slices.SortStableFunc(list, func(a, b int) int {
		return cmp.Compare(m.fleetCounts.versions[a].coverage(), m.fleetCounts.versions[b].coverage())
	})
	return list
}

// missing is how many more engines have to load the version.
func (c *versionCount) missing() int { return c.demand - c.ready - c.loading }

// coverage is the part of the demand that is met. The demand must not be zero.
func (c *versionCount) coverage() float64 { return float64(c.ready+c.loading) / float64(c.demand) }

func (m *Machine) decideLoads(d *decision, v int) {
	c := &m.fleetCounts.versions[v]
	for d.loadBudget > 0 && c.missing() > 0 {
		e := m.loadTarget(d, v)
		if e == nil {
			m.makeRoom(d, v)
			return
		}
		m.addOrder(d, e, upstream.LoadVersion, v)
		d.loadBudget--
		c.addLoading(e.domain)
	}
	m.limiter.round.saturated = m.limiter.round.saturated || c.missing() > 0
}

// addOrder adds a pending order to the record.
func (m *Machine) addOrder(d *decision, e *engine, action upstream.OrderAction, v int) {
	d.assigned[e] = true
	p := Pending{Engine: e.id, Action: action, Version: m.plan.versions[v].name, Since: rowTime(m.now)}
	d.record.Orders = append(d.record.Orders, p)
}

// loadTarget returns the engine to load the version, or nil if there is none. It is in
// the failure domain with the fewest engines that have or load the version, and has the
// fewest versions there.
func (m *Machine) loadTarget(d *decision, v int) *engine {
	var best *engine
	perDomain := m.fleetCounts.versions[v].perDomain
	for _, e := range m.fleet.engines {
		if !m.canLoad(d, e, v) || !e.hasRoom(m.settings.Slots) {
			continue
		}
		if best == nil || e.preferredOver(best, perDomain) {
			best = e
		}
	}
	return best
}

func (e *engine) preferredOver(o *engine, perDomain []int) bool {
	if perDomain[e.domain] != perDomain[o.domain] {
		return perDomain[e.domain] < perDomain[o.domain]
	}
	return len(e.state.Versions) < len(o.state.Versions)
}

func (m *Machine) canLoad(d *decision, e *engine, v int) bool {
	return m.available(d, e) && !m.now.Before(e.avoidUntil) && !slices.Contains(e.has, v) && !slices.Contains(e.loading, v)
}

// available reports whether the engine is live, was read recently and has no pending
// order.
func (m *Machine) available(d *decision, e *engine) bool {
	return e.live && e.order == nil && !d.assigned[e] && !e.stateAt.IsZero() && e.stateAt.After(m.now.Add(-m.stateTTL()))
}

// makeRoom unloads versions that can be spared on engines that are needed for another
// one.
func (m *Machine) makeRoom(d *decision, v int) {
	perDomain := m.fleetCounts.versions[v].perDomain
	for d.unloadBudget > 0 && m.fleetCounts.versions[v].missing() > m.pendingUnloads(d) {
		var best *engine
		for _, e := range m.fleet.engines {
			if !m.canLoad(d, e, v) || m.spareVersion(e) < 0 {
				continue
			}
			if best == nil || perDomain[e.domain] < perDomain[best.domain] {
				best = e
			}
		}
		if best == nil {
			return
		}
		m.unload(d, best, m.spareVersion(best))
	}
}

// pendingUnloads is the number of pending unloads; each makes room for one version.
func (m *Machine) pendingUnloads(d *decision) int { return len(d.record.Orders) - d.record.loads() }

// spareVersion returns a version that the engine may unload: a withdrawn one if there is
// any, else the one with the largest surplus. It returns -1 if there is none.
func (m *Machine) spareVersion(e *engine) int {
	best, mostSurplus := -1, 0
	for _, v := range e.has {
		if !m.mayUnload(e, v) {
			continue
		}
		if m.plan.versions[v].state == config.Withdrawn {
			return v
		}
		c := &m.fleetCounts.versions[v]
		if surplus := c.ready - c.demand; best < 0 || surplus > mostSurplus {
			best, mostSurplus = v, surplus
		}
	}
	return best
}

func (m *Machine) unload(d *decision, e *engine, v int) {
	m.addOrder(d, e, upstream.UnloadVersion, v)
	d.unloadBudget--
	if c := &m.fleetCounts.versions[v]; slices.Contains(e.has, v) {
		c.ready--
	}
}
