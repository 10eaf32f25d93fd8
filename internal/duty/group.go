package duty

import (
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// Group waits for its goroutines. A panic in one of them ends the process: a
// panic means a broken invariant, and conc alone would keep it until Wait while
// the process went on without that duty. The zero value is ready.
type Group struct {
	wait conc.WaitGroup
}

// Go runs f in a goroutine of the group.
func (g *Group) Go(f func()) {
	g.wait.Go(func() {
		if caught := panics.Try(f); caught != nil {
			endProcess(caught)
		}
	})
}

// Wait waits for all goroutines.
func (g *Group) Wait() { g.wait.Wait() }

// endProcess panics where nothing recovers it.
func endProcess(caught *panics.Recovered) {
	go func() { panic(caught.AsError()) }()
	select {}
}
