package frontier

import "cmp"

// Point is one strategy to run a request, with its expected cost and quality.
type Point struct {
	First string
	// Then holds the version that runs when the rating of the first answer is below
	// Threshold. It is empty for a single version.
	Then      []string
	Threshold float64
	// Cost is the expected cost, in micro-units of currency.
	Cost float64
	// Quality is the expected quality lowered by the confidence margin; Mean is the
	// expected quality without it.
	Quality float64
	Mean    float64
}

// byCost orders by cost; at equal cost, the better point comes first.
func byCost(a, b Point) int {
	return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(b.Quality, a.Quality))
}
