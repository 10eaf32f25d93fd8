package duty

import (
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// Group runs goroutines and waits for them. A panic in one of them ends the process:
// it means a broken invariant, and conc alone would hold it back until Wait while the
// process continued without that goroutine. The zero value is ready to use.
type Group struct {
	wait conc.WaitGroup
}

// Go runs f in a new goroutine. A panic in f ends the process.
func (g *Group) Go(f func()) {
	g.wait.Go(func() {
		if caught := panics.Try(f); caught != nil {
			endProcess(caught)
		}
	})
}

// Wait blocks until all goroutines started by Go have returned.
func (g *Group) Wait() { g.wait.Wait() }

// endProcess panics in a goroutine that has no recover, which ends the process.
func endProcess(caught *panics.Recovered) {
	go func() { panic(caught.AsError()) }()
	select {}
}
