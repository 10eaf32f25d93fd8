package canary

import (
	"fmt"
	"testing"
)

// Fails if a good version is rolled back because its trial, which seemed to bring enough answers until the
// time limit, has too few at the deadline before it.
func TestTrialHasEnoughAnswersAtItsDeadline(t *testing.T) {
	const plays = 200
	for _, rate := range []int{16, 20, 24, 28, 32, 40} {
		t.Run(fmt.Sprint(rate, " a second"), func(t *testing.T) {
			t.Parallel()
			completed := 0
			for seed := range uint64(plays) {
				w := newWorld(seed, 8)
				w.rate = rate
				w.run()
				if w.verdict == Completed {
					completed++
				}
				checkExposure(t, seed, w)
			}
			t.Logf("completed in %d of %d", completed, plays)
			if completed < plays*97/100 {
				t.Errorf("a good version was completed in %d of %d", completed, plays)
			}
		})
	}
}
