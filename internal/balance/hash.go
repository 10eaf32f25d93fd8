package balance

import "github.com/cespare/xxhash/v2"

// hashOf is the same on every node, so that nodes agree without talking.
func hashOf(s string) uint64 { return xxhash.Sum64String(s) }

// mix joins two hashes into one (the finaliser of splitmix64).
func mix(a, b uint64) uint64 {
	x := a + b*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
