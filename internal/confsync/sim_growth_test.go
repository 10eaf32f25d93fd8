package confsync

import (
	"fmt"
	"time"
)

// growthRun lets a small fleet that knows itself well be paused, whole or in
// part, while others join and operators change the configuration. What was
// paused may be cut off when it goes on.
func (w *world) growthRun() {
	// With a lag the first list of a node that joins names only the fleet of
	// before, whose confirmation is demanded then.
	if w.random.IntN(2) == 0 {
		w.vms.lag = 0
	}
	w.net.side, w.net.noTable = map[string]int{}, map[string]bool{}
	for i := range 1 + w.random.IntN(3) {
		w.addNode(fmt.Sprintf("n%d", i), fmt.Sprintf("d%d", i))
	}
	w.run(w.vms.lag + listSettle + w.between(2*time.Second, 4*time.Second))
	paused := w.nodes[:1+w.random.IntN(len(w.nodes))]
	each(paused, (*simNode).pause)
	for i := range 1 + w.random.IntN(4) {
		w.addNode(fmt.Sprintf("m%d", i), fmt.Sprintf("d%d", w.random.IntN(3)))
	}
	end := w.now + chaosTime
	w.nextChange(end)
	w.run(w.vms.lag + w.between(3*time.Second, 7*time.Second))
	for _, n := range paused {
		w.net.side[n.vm.ID] = w.random.IntN(2)
		w.net.noTable[n.vm.ID] = w.net.side[n.vm.ID] == 1
	}
	w.note("cut off: %v", w.net.noTable)
	each(paused, (*simNode).thaw)
	w.finish(end)
}
