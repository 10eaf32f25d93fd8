//go:build race

package ledger

import "runtime"

// steady keeps a bubble to one processor. The race detector's context of a
// bubble's timers is shared by all processors (Go 1.26): two that find timers
// due at one time crash it, at about one run of this package in four. What the
// detector finds does not depend on how many processors there are.
func steady() (restore func()) {
	before := runtime.GOMAXPROCS(1)
	return func() { runtime.GOMAXPROCS(before) }
}
