package confsync

import (
	"fmt"
	"time"
)

const (
	faultTime    = 12 * time.Second
	recoveryTime = 4 * time.Second
	faultKinds   = 9
)

// simRun performs a randomised run of a small fleet with faults and operators.
func simRun(seed uint64, r rules, tracing bool) *world {
	w := newWorld(seed, Settings{})
	w.tracing = tracing
	w.rules = r
	w.settings.Readers = 1 + w.random.IntN(2)
	w.settings.FanOut = 1 + w.random.IntN(3)
	if w.random.IntN(3) == 0 {
		w.settings.DirectLimit = 1
	}
	w.vms.lag = w.between(0, 3*time.Second)
	w.table.stored = append(w.table.stored, 0)
	if w.random.IntN(6) == 0 {
		w.growthRun()
		return w
	}
	nodes, domains := 3+w.random.IntN(6), 1+w.random.IntN(4)
	for i := range nodes {
		w.addNode(fmt.Sprintf("n%d", i), fmt.Sprintf("d%d", i%domains))
	}
	w.run(w.vms.lag + w.between(2*time.Second, 4*time.Second))
	if w.random.IntN(4) > 0 {
		w.run(listSettleTime) // from here on nodes may count a majority
	}
	w.net.side, w.net.noTable = map[string]int{}, map[string]bool{}
	for range 1 + w.random.IntN(4) {
		w.kinds = append(w.kinds, w.random.IntN(faultKinds))
	}
	end := w.now + faultTime
	if w.random.IntN(2) == 0 {
		w.startMoves(end)
	} else {
		w.scheduleFault(end)
	}
	w.scheduleChange(end)
	w.finish(end)
	return w
}

func (w *world) finish(end time.Duration) {
	w.runUntil(end)
	w.heal()
	w.run(recoveryTime)
	w.checkSettled()
}

// startMoves splits the fleet, with one side cut off from the table, and repeatedly moves nodes
// between the sides. Faults in the counting of majorities need several such steps in a row,
// which independently drawn faults seldom produce.
func (w *world) startMoves(end time.Duration) {
	w.split()
	w.cutSide()
	w.scheduleMove(end)
}

func (w *world) scheduleMove(end time.Duration) {
	w.after(w.between(0, 4*time.Second), func() {
		if w.now >= end {
			return
		}
		w.moveNode()
		w.scheduleMove(end)
	})
}

func (w *world) scheduleFault(end time.Duration) {
	w.after(w.between(0, time.Second), func() {
		if w.now >= end {
			return
		}
		w.fault()
		w.scheduleFault(end)
	})
}

// scheduleChange lets an operator change the configuration and then poll until it is in force,
// also if the acknowledgement is lost.
func (w *world) scheduleChange(end time.Duration) {
	w.after(w.between(0, 2500*time.Millisecond), func() {
		if w.now >= end {
			return
		}
		if n := w.anyNode(); !n.dead && !w.table.down && !w.table.silent && !w.net.noTable[n.vm.ID] {
			revision := w.accept()
			n.deliver(n.boot, ReadRequested{})
			w.askUntil(n, revision, end)
		}
		w.scheduleChange(end)
	})
}

func (w *world) askUntil(n *simNode, revision uint64, end time.Duration) {
	w.after(w.between(0, 600*time.Millisecond), func() {
		if w.now >= end || w.reported >= revision {
			return
		}
		if n.dead || n.paused {
			n = w.anyNode()
		}
		n.askConfirm(revision)
		w.askUntil(n, revision, end)
	})
}

func (w *world) anyNode() *simNode { return w.nodes[w.random.IntN(len(w.nodes))] }

func (w *world) fault() {
	length := w.between(100*time.Millisecond, 7*time.Second)
	switch w.kinds[w.random.IntN(len(w.kinds))] {
	case 0, 1:
		n := w.anyNode()
		n.pause()
		w.after(length, n.resume)
	case 2:
		w.split()
		if w.random.IntN(2) == 0 {
			w.cutSide()
		}
		w.after(length, func() {
			clear(w.net.side)
			clear(w.net.noTable)
		})
	case 3:
		w.cutFromTable()
		w.after(length, func() { clear(w.net.noTable) })
	case 4:
		w.table.down = true
		w.note("the table is down")
		w.after(length, func() { w.table.down = false })
	case 5:
		w.table.silent = true
		w.note("the table is silent")
		w.after(length, func() { w.table.silent = false })
	case 6:
		w.table.maxLatency = w.between(0, 2*time.Second)
		w.net.slowFraction, w.net.slowLatency = 0.2, 3*time.Second
		w.note("table and network are slow")
		w.after(length, w.resetLatency)
	case 7:
		n := w.anyNode()
		n.kill()
		w.after(w.between(0, time.Second), n.start)
	case 8:
		w.replace(w.anyNode())
	}
}

func (w *world) resetLatency() {
	w.table.maxLatency = 8 * time.Millisecond
	w.net.slowFraction = 0
}

func (w *world) split() {
	for _, n := range w.nodes {
		w.net.side[n.vm.ID] = w.random.IntN(2)
	}
	w.note("the network is split: %v", w.net.side)
}

// cutSide cuts one side of the split off from the table.
func (w *world) cutSide() {
	for _, n := range w.nodes {
		w.net.noTable[n.vm.ID] = w.net.side[n.vm.ID] == 1
	}
	w.note("cut from the table: %v", w.net.noTable)
}

func (w *world) cutFromTable() {
	for _, n := range w.nodes {
		w.net.noTable[n.vm.ID] = w.random.IntN(2) == 0
	}
	w.note("cut from the table: %v", w.net.noTable)
}

// moveNode moves a node to the other side of the split. The node may be restarted, without its
// state, and the table may go down or come up as well.
func (w *world) moveNode() {
	n := w.anyNode()
	if w.random.IntN(2) == 0 {
		n.kill()
		n.start()
	}
	w.net.side[n.vm.ID] = 1 - w.net.side[n.vm.ID]
	w.net.noTable[n.vm.ID] = w.net.side[n.vm.ID] == 1
	w.table.down = w.random.IntN(4) == 0
	w.note("%s moves: sides %v, table down: %v", n.vm.ID, w.net.side, w.table.down)
}

// replace kills a node permanently and starts one with a new ID in its place.
func (w *world) replace(n *simNode) {
	n.kill()
	id := fmt.Sprintf("%s.%d", n.vm.ID, w.seq)
	list := w.vms.last()
	for i := range list {
		if list[i].ID == n.vm.ID {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	delete(w.byAddr, n.vm.ID)
	for i := range w.nodes {
		if w.nodes[i] == n {
			w.nodes = append(w.nodes[:i:i], w.nodes[i+1:]...)
			break
		}
	}
	w.vms.change(w.now, list)
	w.addNode(id, n.vm.FailureDomain)
}

func (w *world) heal() {
	clear(w.net.side)
	clear(w.net.noTable)
	w.table.down, w.table.silent, w.vms.down = false, false, false
	w.resetLatency()
	for _, n := range w.nodes {
		n.resume()
		if n.dead {
			n.start()
		}
	}
	w.note("all faults are over")
}
