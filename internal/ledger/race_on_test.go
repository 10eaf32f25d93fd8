//go:build race

package ledger

import "runtime"

// singleProcessor limits a bubble to one processor and returns a function that undoes
// this. In Go 1.26, all processors share the race detector's context for a bubble's timers.
// If two of them find due timers at the same time, the detector crashes, in about one of
// four runs of this package. The races that it detects do not depend on the number of
// processors.
func singleProcessor() (restore func()) {
	before := runtime.GOMAXPROCS(1)
	return func() { runtime.GOMAXPROCS(before) }
}
