package frontier

import "cmp"

// Point is one way to run a request.
type Point struct {
	First string
	// Then holds the version that runs when the first answer's rating is
	// below Threshold; it is empty for a way without a second version.
	Then      []string
	Threshold float64
	// Cost is the expected cost, in micro-units of currency.
	Cost float64
	// Quality is the expected quality that the estimates give with the
	// stated confidence, Mean the one that they give without.
	Quality float64
	Mean    float64
}

// byCost orders by cost, and the better first at the same cost.
func byCost(a, b Point) int {
	return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(b.Quality, a.Quality))
}
