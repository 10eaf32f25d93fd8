package rollout

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// counts are the versions that the engines were seen with, at one time.
type counts struct {
	// swept is set if every live engine was read since sweepStart.
	swept bool
	// maxFence is the highest fencing token that an engine has seen.
	maxFence uint64
	// untrackedLoads are running loads without a pending order.
	untrackedLoads int
	versions       []versionCount
}

// versionCount counts the engines of one version.
type versionCount struct {
	demand int
	// ready engines are live, were recently seen with the version, and have no pending
	// order to unload it.
	ready int
	// loading engines load the version, or are ordered to.
	loading int
	// present engines still have the version or load it, as far as is known.
	present int
	// perDomain is the sum of ready and loading by failure domain.
	perDomain []int
}

func (m *Machine) countVersions() {
	t := &m.fleetCounts
	t.swept, t.maxFence, t.untrackedLoads = true, 0, 0
	t.versions = slices.Grow(t.versions[:0], len(m.plan.versions))[:len(m.plan.versions)]
	for i := range t.versions {
		c := &t.versions[i]
		perDomain := slices.Grow(c.perDomain[:0], len(m.fleet.domains))[:len(m.fleet.domains)]
		clear(perDomain)
		*c = versionCount{demand: m.plan.versions[i].demand(m.fleet.targetEngines, &m.settings), perDomain: perDomain}
	}
	oldest := m.now.Add(-m.stateTTL())
	for _, e := range m.fleet.engines {
		m.countEngine(e, oldest)
	}
}

func (m *Machine) countEngine(e *engine, oldest time.Time) {
	t := &m.fleetCounts
	if e.live && !e.lastReadAt.After(m.sweepStart) && !m.disabled.noSweep {
		t.swept = false
	}
	t.maxFence = max(t.maxFence, e.state.Fence)
	for _, v := range e.has {
		t.versions[v].present++
		if e.live && e.stateAt.After(oldest) && !e.orderedToUnload(v) {
			t.versions[v].ready++
			t.versions[v].perDomain[e.domain]++
		}
	}
	for _, v := range e.loading {
		t.versions[v].present++
		if e.orderedToLoad(v) {
			continue
		}
		t.untrackedLoads++
		if !e.orderedToUnload(v) {
			t.versions[v].addLoading(e.domain)
		}
	}
	if o := e.order; o != nil && o.version >= 0 && e.orderedToLoad(o.version) && !slices.Contains(e.has, o.version) {
		t.versions[o.version].addLoading(e.domain)
	}
}

func (c *versionCount) addLoading(domain int) {
	c.loading++
	c.perDomain[domain]++
}

func (e *engine) orderedToLoad(version int) bool {
	return e.order != nil && e.order.version == version && e.order.pending.Action == upstream.LoadVersion
}

func (e *engine) orderedToUnload(version int) bool {
	return e.order != nil && e.order.version == version && e.order.pending.Action == upstream.UnloadVersion
}

// stateTTL is how long an engine's state counts. It grows with the fleet to two rounds of
// reads, half of which may go to engines with a pending order.
func (m *Machine) stateTTL() time.Duration {
	round := time.Duration(float64(len(m.fleet.engines)) / m.settings.ReadsPerSecond * float64(time.Second))
	if len(m.row.record.Orders) > m.immediateOrders {
		round *= 2
	}
	return max(m.settings.StateTTL, 2*round)
}
