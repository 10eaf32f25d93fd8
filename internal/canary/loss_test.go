package canary

import (
	"fmt"
	"testing"
	"time"
)

// restartAll replaces all nodes by new runs, which know the order and nothing of its trial.
func (w *world) restartAll() {
	clear(w.lastServed) // sessions may change their version over a loss of all nodes
	for i := range w.nodes {
		w.nodes[i] = New(testSettings, fmt.Sprintf("n%d", i), w.now.UnixNano())
		w.nodes[i].AddOrder(w.order(), w.start)
	}
}

// Fails if sessions return to the old version after a loss of all nodes during a trial: a rate of
// requests that counts the time before the loss lets too many sessions take part.
func TestSessionsStayOnTheNewVersionAfterLossOfAllNodes(t *testing.T) {
	for _, lost := range []time.Duration{4 * time.Second, 9 * time.Second, 13 * time.Second, 15 * time.Second, 17 * time.Second} {
		for _, losses := range []int{1, 3} {
			t.Run(fmt.Sprintf("%d from %v on", losses, lost), func(t *testing.T) {
				worst, completed, seeds := 0, 0, uint64(20)
				for seed := range seeds {
					w := newWorld(seed, 6)
					w.heavyShare = 0.4
					for n := range losses {
						w.due.add(w.start.Add(lost+time.Duration(n)*700*time.Millisecond), w.restartAll)
					}
					w.run()
					worst = max(worst, w.movedBack)
					if w.verdict == Completed {
						completed++
					}
					if w.movedBack > 3 {
						t.Errorf("seed %d: %d requests moved back to the old version, 3 may", seed, w.movedBack)
					}
					checkExposure(t, seed, w)
				}
				t.Logf("%d requests moved back at the worst, %d of %d good versions were completed", worst, completed, seeds)
			})
		}
	}
}

// Fails if a bad version gets more requests than the bound allows because losses of all nodes begin
// its trial anew.
func TestBadVersionStaysWithinTheBoundOverLossesOfAllNodes(t *testing.T) {
	for _, every := range []time.Duration{2 * time.Second, 5 * time.Second} {
		t.Run(every.String(), func(t *testing.T) {
			for seed := range uint64(20) {
				w := newWorld(seed, 6)
				w.badShare = always(0.3)
				for at := 3 * time.Second; at < limit; at += every {
					w.due.add(w.start.Add(at), w.restartAll)
				}
				w.run()
				checkExposure(t, seed, w)
			}
		})
	}
}
