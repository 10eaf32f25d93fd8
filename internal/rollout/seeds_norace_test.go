//go:build !race

package rollout

const (
	seeds = 10_000
	// guardSeeds is enough for each disabled rule to cause a violation.
	guardSeeds = 1_000
	// stepStride of 1 tries each step.
	stepStride = 1
	// maxEngines is the size of the largest simulated fleet.
	maxEngines = 10_000
)
