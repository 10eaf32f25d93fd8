package model

// Draw returns the n-th pseudo-random number of a seed, by SplitMix64 (Steele, Lea,
// Flood 2014). It depends only on its arguments.
func Draw(seed, n uint64) uint64 {
	z := seed + (n+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
