package frontier

import (
	"cmp"
	"slices"
)

// Frontier holds the corners of the hull, from the cheapest strategy to the best.
type Frontier struct {
	points []Point
	// explore holds the options that have too few ratings to be ruled out.
	explore []Option
}

// Empty reports whether there was no option.
func (f *Frontier) Empty() bool { return len(f.points) == 0 }

// Points returns the corners, cheapest first. The caller must not modify them.
func (f *Frontier) Points() []Point { return f.points }

// Explore returns the options with few ratings whose quality may be high enough to change
// the frontier.
func (f *Frontier) Explore() []Option { return f.explore }

// Best returns the strategy with the highest quality. The frontier must not be empty.
func (f *Frontier) Best() *Point { return &f.points[len(f.points)-1] }

// At returns the strategy to use for a target quality. The cheapest mix that meets the
// target has at most two strategies; random, uniform in [0,1), selects one of them. If
// nothing meets the target, At returns the best strategy.
func (f *Frontier) At(target, random float64) *Point {
	i, _ := slices.BinarySearchFunc(f.points, target, func(p Point, t float64) int {
		return cmp.Compare(p.Quality, t)
	})
	if i == len(f.points) {
		return f.Best()
	}
	if i == 0 {
		return &f.points[0]
	}
	below, above := &f.points[i-1], &f.points[i]
	if random*(above.Quality-below.Quality) < target-below.Quality {
		return above
	}
	return below
}

// qualityAt returns the quality that a cost buys, and 0 below the cheapest strategy.
func (f *Frontier) qualityAt(cost float64) float64 {
	i, _ := slices.BinarySearchFunc(f.points, cost, func(p Point, c float64) int {
		return cmp.Compare(p.Cost, c)
	})
	switch i {
	case len(f.points):
		return f.Best().Quality
	case 0:
		if f.points[0].Cost > cost {
			return 0
		}
		return f.points[0].Quality
	}
	below, above := &f.points[i-1], &f.points[i]
	share := (cost - below.Cost) / (above.Cost - below.Cost)
	return below.Quality + share*(above.Quality-below.Quality)
}
