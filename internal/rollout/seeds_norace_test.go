//go:build !race

package rollout

const (
	seeds = 10_000
	// guardSeeds are enough for each missing guard to show.
	guardSeeds = 1_000
	// stepStride tries each step.
	stepStride = 1
	// largest is the size of the fleet to come, in engines.
	largest = 10_000
)
