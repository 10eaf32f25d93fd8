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

// firstFailure runs seeds on all processors and returns the lowest one that fails, if any.
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

// Operators change the configuration while nodes are paused, cut off, restarted and replaced,
// and the table is down, silent or slow. No caller may be served under a configuration that
// was reported to an operator as replaced. Once the faults are over, each node must have the
// newest revision.
func TestRandomFaults(t *testing.T) {
	is := is.New(t)
	w, seed := firstFailure(1, simSeeds, defaultRules())
	if w != nil {
		t.Logf("seed %d: %s\n%s", seed, w.failure, strings.Join(w.trace, "\n"))
	}
	is.True(w == nil) // a seed fails
}
