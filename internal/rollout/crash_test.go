package rollout

import (
	"fmt"
	"testing"
)

// A rollout continues correctly when its driver crashes. The driver crashes just before
// or just after each of its actions and restarts ten seconds later. Another node
// continues from the row and the engines' states.
func TestDriverCrashesAtEveryStep(t *testing.T) {
	for _, slots := range []int{0, 2} {
		for _, after := range []bool{false, true} {
			last := 0
			for step := 1; ; step += stepStride {
				o, performed := runWithCrash(slots, step, after)
				if performed < step {
					break
				}
				if o.violation != "" {
					t.Errorf("slots %d, step %d, after it: %v: %s", slots, step, after, o.violation)
				}
				last = step
			}
			if last < 100 {
				t.Errorf("only %d steps were tried", last)
			}
			t.Logf("slots %d, after the step: %v: %d steps", slots, after, last)
		}
	}
}

func runWithCrash(slots, step int, after bool) (outcome, int) {
	w := newWorld(7, simSettings(slots), disabledRules{})
	for i := range 8 {
		w.addEngine(fmt.Sprintf("e%d", i), fmt.Sprintf("d%d", i%4), i%2 == 0, "a", "x")
	}
	w.updateView()
	for range 3 {
		w.addNode()
	}
	n := w.nodes[0]
	n.crashAt, n.crashAfterAction = step, after
	w.drawStages()
	o := w.finish()
	return o, n.performed
}
