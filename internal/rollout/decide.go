package rollout

import (
	"cmp"
	"slices"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// round is one decision on new orders.
type round struct {
	record *Record
	// taken are engines that got an order in this round.
	taken map[*engine]bool
	loads int
	// unloads is how many more may be decided.
	unloads int
}

// decide adds new orders to the record. Loads go before unloads, so that what
// replaces a version comes first.
func (m *Machine) decide(r *Record) bool {
	before := len(r.Orders)
	loads := r.loads()
	d := &round{
		record:  r,
		taken:   map[*engine]bool{},
		loads:   m.loadsAtOnce() - loads - m.tally.loadsSeen,
		unloads: m.mostLoads() - (before - loads),
	}
	for _, v := range m.short() {
		m.decideLoads(d, v)
	}
	m.decideWithdrawals(d)
	return len(r.Orders) > before
}

// short are the versions on too few engines, the shortest first.
func (m *Machine) short() []int {
	var list []int
	for v := range m.tally.versions {
		if m.tally.versions[v].missing() > 0 {
			list = append(list, v)
		}
	}
	slices.SortStableFunc(list, func(a, b int) int {
		return cmp.Compare(m.tally.versions[a].met(), m.tally.versions[b].met())
	})
	return list
}

// missing is how many engines still have to be told to load the version.
func (c *count) missing() int { return c.demand - c.ready - c.coming }

// met is the part of the demand that is met; asked only of versions in demand.
func (c *count) met() float64 { return float64(c.ready+c.coming) / float64(c.demand) }

func (m *Machine) decideLoads(d *round, v int) {
	c := &m.tally.versions[v]
	for d.loads > 0 && c.missing() > 0 {
		e := m.loadTarget(d, v)
		if e == nil {
			m.makeRoom(d, v)
			return
		}
		m.add(d, e, upstream.LoadVersion, v)
		d.loads--
		c.come(e.domain)
	}
	m.pace.round.full = m.pace.round.full || c.missing() > 0
}

// add puts an order in hand.
func (m *Machine) add(d *round, e *engine, action upstream.OrderAction, v int) {
	d.taken[e] = true
	p := Pending{Engine: e.id, Action: action, Version: m.plan.versions[v].name, Since: stamp(m.now)}
	d.record.Orders = append(d.record.Orders, p)
}

// loadTarget is the engine to load the version: in the failure domain with the
// fewest of it, and there the one with the fewest versions. Nil if none can.
func (m *Machine) loadTarget(d *round, v int) *engine {
	var best *engine
	spread := m.tally.versions[v].spread
	for _, e := range m.fleet.engines {
		if !m.canLoad(d, e, v) || !e.room(m.settings.Slots) {
			continue
		}
		if best == nil || e.before(best, spread) {
			best = e
		}
	}
	return best
}

func (e *engine) before(o *engine, spread []int) bool {
	if spread[e.domain] != spread[o.domain] {
		return spread[e.domain] < spread[o.domain]
	}
	return len(e.state.Versions) < len(o.state.Versions)
}

func (m *Machine) canLoad(d *round, e *engine, v int) bool {
	return m.free(d, e) && !m.now.Before(e.avoidUntil) && !slices.Contains(e.has, v) && !slices.Contains(e.loading, v)
}

// free engines are live, were lately read and have nothing in hand.
func (m *Machine) free(d *round, e *engine) bool {
	return e.live && e.hand == nil && !d.taken[e] && !e.seen.IsZero() && e.seen.After(m.now.Add(-m.seenFor()))
}

// makeRoom unloads a version that can be spared where another one is needed.
func (m *Machine) makeRoom(d *round, v int) {
	spread := m.tally.versions[v].spread
	for d.unloads > 0 && m.tally.versions[v].missing() > m.roomComing(d) {
		var best *engine
		for _, e := range m.fleet.engines {
			if !m.canLoad(d, e, v) || m.spare(e) < 0 {
				continue
			}
			if best == nil || spread[e.domain] < spread[best.domain] {
				best = e
			}
		}
		if best == nil {
			return
		}
		m.unload(d, best, m.spare(best))
	}
}

// roomComing counts unloads in hand: each makes room for one version.
func (m *Machine) roomComing(d *round) int { return len(d.record.Orders) - d.record.loads() }

// spare is a version that the engine may unload: one that is withdrawn if
// there is one, else the one with the most to spare; -1 if there is none.
func (m *Machine) spare(e *engine) int {
	best, most := -1, 0
	for _, v := range e.has {
		if !m.mayUnload(e, v) {
			continue
		}
		if m.plan.versions[v].state == config.Withdrawn {
			return v
		}
		c := &m.tally.versions[v]
		if over := c.ready - c.demand; best < 0 || over > most {
			best, most = v, over
		}
	}
	return best
}

func (m *Machine) unload(d *round, e *engine, v int) {
	m.add(d, e, upstream.UnloadVersion, v)
	d.unloads--
	if c := &m.tally.versions[v]; slices.Contains(e.has, v) {
		c.ready--
	}
}
