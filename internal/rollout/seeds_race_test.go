//go:build race

package rollout

// Fewer runs: the machine has no goroutines, so the race detector finds nothing in it. CI
// runs both sets.
const (
	seeds      = 300
	guardSeeds = 100
	stepStride = 7
	maxEngines = 2_500 // engines
)
