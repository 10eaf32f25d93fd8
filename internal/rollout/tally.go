package rollout

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// tally counts, at one instant, what the engines were seen to have.
type tally struct {
	// swept says that every live engine was asked since the row was taken.
	swept bool
	// fence is the highest fencing number that an engine has seen.
	fence uint64
	// loadsSeen are loads under way that are not in hand.
	loadsSeen int
	versions  []count
}

// count is of one version.
type count struct {
	demand int
	// ready engines are live, were lately seen with the version, and have no
	// order in hand to unload it.
	ready int
	// coming engines load it, or are ordered to.
	coming int
	// held engines still have it or load it, as far as is known.
	held int
	// spread is ready and coming by failure domain.
	spread []int
}

func (m *Machine) count() {
	t := &m.tally
	t.swept, t.fence, t.loadsSeen = true, 0, 0
	t.versions = slices.Grow(t.versions[:0], len(m.plan.versions))[:len(m.plan.versions)]
	for i := range t.versions {
		c := &t.versions[i]
		spread := slices.Grow(c.spread[:0], len(m.fleet.domains))[:len(m.fleet.domains)]
		clear(spread)
		*c = count{demand: m.plan.versions[i].demand(m.fleet.wantedOn, &m.settings), spread: spread}
	}
	oldest := m.now.Add(-m.seenFor())
	for _, e := range m.fleet.engines {
		m.countEngine(e, oldest)
	}
}

func (m *Machine) countEngine(e *engine, oldest time.Time) {
	t := &m.tally
	if e.live && !e.tried.After(m.takenAt) && !m.guards.noSweep {
		t.swept = false
	}
	t.fence = max(t.fence, e.state.Fence)
	for _, v := range e.has {
		t.versions[v].held++
		if e.live && e.seen.After(oldest) && !e.unloading(v) {
			t.versions[v].ready++
			t.versions[v].spread[e.domain]++
		}
	}
	for _, v := range e.loading {
		t.versions[v].held++
		if e.loadingInHand(v) {
			continue
		}
		t.loadsSeen++
		if !e.unloading(v) {
			t.versions[v].come(e.domain)
		}
	}
	if h := e.hand; h != nil && h.version >= 0 && e.loadingInHand(h.version) && !slices.Contains(e.has, h.version) {
		t.versions[h.version].come(e.domain)
	}
}

func (c *count) come(domain int) {
	c.coming++
	c.spread[domain]++
}

func (e *engine) loadingInHand(version int) bool {
	return e.hand != nil && e.hand.version == version && e.hand.pending.Action == upstream.LoadVersion
}

func (e *engine) unloading(version int) bool {
	return e.hand != nil && e.hand.version == version && e.hand.pending.Action == upstream.UnloadVersion
}

// seenFor stretches with the fleet: a state counts for two rounds of reads, of
// which half may go to engines with an order in hand.
func (m *Machine) seenFor() time.Duration {
	round := time.Duration(float64(len(m.fleet.engines)) / m.settings.ReadsPerSecond * float64(time.Second))
	if len(m.row.record.Orders) > m.few {
		round *= 2
	}
	return max(m.settings.SeenFor, 2*round)
}
