package quality

// Bins is how many equal parts the scores in [0,1] are counted in.
const Bins = 16

// Bin returns the part that a score falls into.
func Bin(score float64) int {
	return min(max(int(score*Bins), 0), Bins-1)
}

// Edge returns the lower edge of a part.
func Edge(bin int) float64 { return float64(bin) / Bins }

// Centre returns the middle of a part.
func Centre(bin int) float64 { return (float64(bin) + 0.5) / Bins }
