package model

// Draw returns the n-th number of the seed's series. It is SplitMix64 (Steele,
// Lea, Flood 2014), a function of its arguments alone.
func Draw(seed, n uint64) uint64 {
	z := seed + (n+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
