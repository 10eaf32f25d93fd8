package confsync

import (
	"fmt"
	"time"
)

// growthRun pauses all or some nodes of a small fleet whose lists have settled, while other
// nodes join and operators change the configuration. The paused nodes may be cut off when they
// resume.
func (w *world) growthRun() {
	// With a lag, the first list of a joining node shows only the earlier fleet, whose
	// confirmation is then required.
	if w.random.IntN(2) == 0 {
		w.vms.lag = 0
	}
	w.net.side, w.net.noTable = map[string]int{}, map[string]bool{}
	for i := range 1 + w.random.IntN(3) {
		w.addNode(fmt.Sprintf("n%d", i), fmt.Sprintf("d%d", i))
	}
	w.run(w.vms.lag + listSettleTime + w.between(2*time.Second, 4*time.Second))
	paused := w.nodes[:1+w.random.IntN(len(w.nodes))]
	each(paused, (*simNode).pause)
	for i := range 1 + w.random.IntN(4) {
		w.addNode(fmt.Sprintf("m%d", i), fmt.Sprintf("d%d", w.random.IntN(3)))
	}
	end := w.now + faultTime
	w.scheduleChange(end)
	w.run(w.vms.lag + w.between(3*time.Second, 7*time.Second))
	for _, n := range paused {
		w.net.side[n.vm.ID] = w.random.IntN(2)
		w.net.noTable[n.vm.ID] = w.net.side[n.vm.ID] == 1
	}
	w.note("cut off: %v", w.net.noTable)
	each(paused, (*simNode).resume)
	w.finish(end)
}
