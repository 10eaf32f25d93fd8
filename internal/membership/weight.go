package membership

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadSteps is the number of steps to which loads are rounded, so that small changes of
	// load move no caller.
	loadSteps = 8
	// minWeight is the weight of a fully loaded VM, which still gets a few callers.
	minWeight = 1.0 / (2 * loadSteps)
	// mix1 and mix2 are the multipliers of splitmix64's finalizer.
	mix1 = 0xbf58476d1ce4e5b9
	mix2 = 0x94d049bb133111eb
	// unitBits is the number of hash bits used for a number in (0,1).
	unitBits = 53
)

func hash(text string) uint64 { return xxhash.Sum64String(text) }

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * mix1
	x = (x ^ x>>27) * mix2
	return x ^ x>>31
}

// weightedScore returns the rendezvous score of a VM for a caller. The probability that a VM
// has the highest score of all is proportional to its weight.
func weightedScore(caller uint64, m *Member) float64 {
	bits := mix(caller^hash(m.ID)) >> (64 - unitBits)
	unit := (float64(bits) + 0.5) / (1 << unitBits)
	load := math.Round(m.Load*loadSteps) / loadSteps
	return -max(1-load, minWeight) / math.Log(unit)
}
