package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// simTable is the table: stored[r] is when revision r was accepted.
type simTable struct {
	stored      []time.Duration
	least, most time.Duration // latency, half before the effect
	down        bool          // refuses at once
	silent      bool          // no answer comes
}

func (t *simTable) head() uint64 { return uint64(len(t.stored) - 1) }

// simVMs is the VM list with all its past states.
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

// asOf returns the number of the state that the lagging list shows, from 1.
func (v *simVMs) asOf(now time.Duration) uint64 {
	n := 1
	for n < len(v.states) && v.states[n].at <= now-v.lag {
		n++
	}
	return uint64(n)
}

// network says who reaches whom.
type network struct {
	least, most time.Duration
	// side gives each node a side; nodes of different sides do not hear each
	// other. noTable are the nodes that do not reach the table.
	side    map[string]int
	noTable map[string]bool
	// slow is the fraction of messages that take up to slowBy.
	slow   float64
	slowBy time.Duration
}

func (n *network) reach(a, b string) bool { return n.side[a] == n.side[b] }

func (w *world) latency() time.Duration {
	if w.net.slow > 0 && w.random.Float64() < w.net.slow {
		return w.between(0, w.net.slowBy)
	}
	return w.between(w.net.least, w.net.most)
}

// callTable runs a read at the table: do looks at the state at the moment of
// its effect and returns the event that carries the answer.
func (w *world) callTable(n *simNode, do func() Event, failed Event) {
	boot := n.boot
	deliver := func(d time.Duration, e Event) { w.after(d, func() { n.deliver(boot, e) }) }
	latency := w.between(w.table.least, w.table.most)
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
