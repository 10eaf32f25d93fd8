package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// simTable is the simulated table: stored[r] is when revision r was accepted.
type simTable struct {
	stored                 []time.Duration
	minLatency, maxLatency time.Duration // half of it before the read takes effect
	down                   bool          // refuses reads at once
	silent                 bool          // does not respond
}

func (t *simTable) head() uint64 { return uint64(len(t.stored) - 1) }

// simVMs is the simulated VM list with all its past states.
type simVMs struct {
	states []simList
	lag    time.Duration
	down   bool
}

type simList struct {
	at  time.Duration
	vms []platform.VM
}

func (v *simVMs) last() []platform.VM {
	if len(v.states) == 0 {
		return nil
	}
	list := v.states[len(v.states)-1].vms
	return append([]platform.VM(nil), list...)
}

func (v *simVMs) change(now time.Duration, vms []platform.VM) {
	v.states = append(v.states, simList{at: now, vms: vms})
}

// asOf returns the number, from 1, of the state that the lagging list shows.
func (v *simVMs) asOf(now time.Duration) uint64 {
	n := 1
	for n < len(v.states) && v.states[n].at <= now-v.lag {
		n++
	}
	return uint64(n)
}

// network determines which nodes reach each other and the table.
type network struct {
	minLatency, maxLatency time.Duration
	// side is the side of each node; nodes on different sides do not reach each other.
	// noTable are the nodes that do not reach the table.
	side    map[string]int
	noTable map[string]bool
	// slowFraction is the fraction of messages that take up to slowLatency.
	slowFraction float64
	slowLatency  time.Duration
}

func (n *network) reach(a, b string) bool { return n.side[a] == n.side[b] }

func (w *world) latency() time.Duration {
	if w.net.slowFraction > 0 && w.random.Float64() < w.net.slowFraction {
		return w.between(0, w.net.slowLatency)
	}
	return w.between(w.net.minLatency, w.net.maxLatency)
}

// callTable performs a read of the table. do reads the state at the moment of the read's
// effect and returns the event with the response.
func (w *world) callTable(n *simNode, do func() Event, failed Event) {
	boot := n.boot
	deliver := func(d time.Duration, e Event) { w.after(d, func() { n.deliver(boot, e) }) }
	latency := w.between(w.table.minLatency, w.table.maxLatency)
	if w.table.silent || w.table.down && latency > w.settings.ReadTimeout {
		deliver(w.settings.ReadTimeout, failed)
		return
	}
	if w.table.down || w.net.noTable[n.vm.ID] {
		deliver(latency, failed)
		return
	}
	w.after(latency/2, func() {
		e := do()
		if w.table.silent || latency > w.settings.ReadTimeout {
			deliver(w.settings.ReadTimeout-latency/2, failed)
			return
		}
		deliver(latency-latency/2, e)
	})
}
