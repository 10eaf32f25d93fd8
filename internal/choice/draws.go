package choice

// draws is a SplitMix64 generator that derives several random numbers from the one that
// comes with a request.
type draws struct{ state uint64 }

// next returns a uniform number in [0,1).
func (d *draws) next() float64 {
	d.state += 0x9e3779b97f4a7c15
	z := d.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	z ^= z >> 31
	return float64(z>>11) / (1 << 53)
}
