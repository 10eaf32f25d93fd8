package canary

import "math/bits"

// loadClass is the octave of the number of attempts in progress at an upstream.
type loadClass int

const (
	// anyLoad is the class of attempts regardless of load.
	anyLoad      loadClass = 0
	maxLoadClass loadClass = 8
)

// classOf returns the class of a load in attempts: 1 below one, 2 below two, 3 below four.
func classOf(load float64) loadClass {
	return min(loadClass(bits.Len(uint(max(load, 0))))+1, maxLoadClass)
}
