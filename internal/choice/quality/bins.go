package quality

// Bins is the number of equal bins that scores in [0,1] are counted in.
const Bins = 16

// Bin returns the bin of a score; scores outside [0,1] fall into the first or last bin.
func Bin(score float64) int {
	return min(max(int(score*Bins), 0), Bins-1)
}

// Edge returns the lower edge of a bin.
func Edge(bin int) float64 { return float64(bin) / Bins }

// Centre returns the middle of a bin.
func Centre(bin int) float64 { return (float64(bin) + 0.5) / Bins }
