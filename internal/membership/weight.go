package membership

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadSteps rounds loads, so that small changes move no caller.
	loadSteps = 8
	// leastWeight is of a VM that is full: it still gets a few callers.
	leastWeight = 1.0 / (2 * loadSteps)
	// The multipliers of splitmix64's finalizer.
	mix1 = 0xbf58476d1ce4e5b9
	mix2 = 0x94d049bb133111eb
	// unitBits is how many bits of a hash make a number in (0,1).
	unitBits = 53
)

func hash(text string) uint64 { return xxhash.Sum64String(text) }

// mix scatters the bits of a number.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * mix1
	x = (x ^ x>>27) * mix2
	return x ^ x>>31
}

// weightedScore is the rendezvous score of a VM for a caller: of all VMs, each
// has the highest with a probability in proportion to its weight.
func weightedScore(caller uint64, m *Member) float64 {
	bits := mix(caller^hash(m.ID)) >> (64 - unitBits)
	unit := (float64(bits) + 0.5) / (1 << unitBits)
	load := math.Round(m.Load*loadSteps) / loadSteps
	return -max(1-load, leastWeight) / math.Log(unit)
}
