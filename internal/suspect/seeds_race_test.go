//go:build race

package suspect

// The race detector makes a run some ten times slower; there is no second
// goroutine in it anyway.
const defaultSeeds = 500
