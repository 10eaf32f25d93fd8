//go:build !race

package suspect

const defaultSeeds = 10_000
