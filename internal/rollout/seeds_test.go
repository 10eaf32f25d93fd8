package rollout

import (
	"flag"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

const workers = 4

// sweepSeeds runs the seeds. It returns how many violated an invariant, and the lowest
// such seed with its violation.
func sweepSeeds(t testing.TB, from, seeds uint64, g disabledRules) (failed int, first uint64, violation string) {
	t.Helper()
	var next atomic.Uint64
	var mu sync.Mutex
	var strayOrders int
	var slowest time.Duration
	var wg conc.WaitGroup
	for range workers {
		wg.Go(func() {
			for seed := from + next.Add(1) - 1; seed < from+seeds; seed = from + next.Add(1) - 1 {
				o := runSeed(seed, g)
				mu.Lock()
				strayOrders += o.strayOrders
				slowest = max(slowest, o.settled)
				if o.violation != "" {
					failed++
				}
				if o.violation != "" && (violation == "" || seed < first) {
					first, violation = seed, o.violation
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	t.Logf("%d seeds, %d broken, %d late orders took effect, settled at most %v after the last fault", seeds, failed, strayOrders, slowest)
	return failed, first, violation
}

// Rollouts withstand faults in any combination. Drivers pause, crash and restart; the
// table is down or loses answers; orders arrive late; engines and failure domains are
// lost; loads fail. No order may take a version below its demand, load a withdrawn
// version, or exceed the limit of loads. The engines must match the configuration once
// the faults end.
func TestSeeds(t *testing.T) {
	if failed, first, violation := sweepSeeds(t, *firstSeed, seeds, disabledRules{}); failed > 0 {
		t.Fatalf("%d of %d seeds; seed %d: %s", failed, seeds, first, violation)
	}
}

var firstSeed = flag.Uint64("first", 1, "the first seed of TestSeeds")

var oneSeed = flag.Uint64("seed", 0, "run this seed alone and print what happens in it")

// Runs the seed given by -seed and logs its events.
func TestOneSeed(t *testing.T) {
	if *oneSeed == 0 {
		t.Skip("no -seed is given")
	}
	w := drawWorld(*oneSeed, disabledRules{})
	w.verbose = true
	o := w.finish()
	t.Log(w.log.String())
	if o.violation != "" {
		t.Fatal(o.violation)
	}
}
