//go:build !race

package rollout

const (
	seeds = 10_000
	// guardSeeds are enough for each missing guard to show.
	guardSeeds = 1_000
	// stepStride tries each step.
	stepStride = 1
)
