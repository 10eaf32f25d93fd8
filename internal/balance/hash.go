package balance

import "github.com/cespare/xxhash/v2"

// hashID gives the same hash on every node, so that nodes agree without communicating.
func hashID(s string) uint64 { return xxhash.Sum64String(s) }

// mix combines two hashes into one with the finaliser of splitmix64.
func mix(a, b uint64) uint64 {
	x := a + b*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
