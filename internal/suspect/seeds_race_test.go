//go:build race

package suspect

// The race detector makes a run some ten times slower, and a tracker has no second
// goroutine.
const defaultSeeds = 500
