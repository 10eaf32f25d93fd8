package frontier

import (
	"cmp"
	"slices"
)

// Frontier holds the corners of the hull, from the cheapest way to the best.
type Frontier struct {
	points []Point
	// explore are the options that are known too little to be left aside.
	explore []Option
}

// Empty says that there was no option.
func (f *Frontier) Empty() bool { return len(f.points) == 0 }

// Points are the corners, cheapest first.
func (f *Frontier) Points() []Point { return f.points }

// Explore returns the options whose quality may be high enough to change the
// frontier, for all that is known, and that few ratings speak of.
func (f *Frontier) Explore() []Option { return f.explore }

// Best is the way with the highest quality.
func (f *Frontier) Best() *Point { return &f.points[len(f.points)-1] }

// At returns the way to take at a target: of the cheapest mix of two ways that
// meets it, the one that random, drawn from [0,1), picks. When nothing meets
// the target it is the best way.
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

// qualityAt returns the quality that a cost buys, and 0 below the cheapest.
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
