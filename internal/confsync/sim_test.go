package confsync

import (
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc/pool"
)

const simSeeds = 10_000

// firstFailure runs seeds on all processors and returns the lowest that
// fails, if any did.
func firstFailure(from, seeds uint64, r rules) (*world, uint64) {
	var failed atomic.Uint64
	failed.Store(from + seeds)
	workers := pool.New().WithMaxGoroutines(runtime.GOMAXPROCS(0))
	for seed := from; seed < from+seeds; seed++ {
		workers.Go(func() {
			if seed >= failed.Load() {
				return
			}
			if simRun(seed, r, false).failure == "" {
				return
			}
			for old := failed.Load(); seed < old; old = failed.Load() {
				failed.CompareAndSwap(old, seed)
			}
		})
	}
	workers.Wait()
	if failed.Load() == from+seeds {
		return nil, 0
	}
	return simRun(failed.Load(), r, true), failed.Load()
}

// Operators change the configuration while nodes are paused, cut off,
// restarted and replaced, and the table is down, silent or slow. A caller must
// never be served under a configuration that an operator was told is replaced,
// and once the faults are over every node must have the newest.
func TestRandomFaults(t *testing.T) {
	is := is.New(t)
	w, seed := firstFailure(1, simSeeds, defaultRules())
	if w != nil {
		t.Logf("seed %d: %s\n%s", seed, w.failure, strings.Join(w.trace, "\n"))
	}
	is.True(w == nil) // a seed fails
}
