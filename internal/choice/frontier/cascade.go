package frontier

import (
	"math"

	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

// accepted is what a threshold on the rating lets pass.
type accepted struct {
	threshold float64
	// share of the answers.
	share float64
	// linear and square are the share times by how much the accepted scores,
	// and the squares of their deviations, are above the mean of all.
	linear float64
	square float64
}

// thresholds returns what passes at each edge between two bins.
func thresholds(e *quality.Estimate, into []accepted) []accepted {
	mean, variance := moments(&e.Scores)
	var a accepted
	for bin := quality.Bins - 1; bin > 0; bin-- {
		share := e.Scores[bin]
		deviation := quality.Centre(bin) - mean
		a.share += share
		a.linear += share * deviation
		a.square += share * (deviation*deviation - variance)
		a.threshold = quality.Edge(bin) + e.Shift
		if share > 0 {
			into = append(into, a)
		}
	}
	return into
}

func moments(shares *[quality.Bins]float64) (mean, variance float64) {
	for i, share := range shares {
		x := quality.Centre(i)
		mean += share * x
		variance += share * x * x
	}
	return mean, variance - mean*mean
}

// cascade returns the way that runs first, and then runs next when the rating
// is not accepted. confidence is in standard deviations.
func cascade(first, next *Option, then []string, a accepted, confidence float64) Point {
	short := 1 - a.share
	f, n := &first.Estimate, &next.Estimate
	// The rater's noise lifts the accepted ratings too; the curve knows
	// which part of the lift is quality.
	lift, liftSD := f.Curve.Lift(a.linear, a.square)
	// What passes is above the mean by as much as what falls short is below.
	rescue, rescueSD := n.Rescue.Sum(short, -a.linear)
	mean := a.share*f.Mean + lift + rescue
	sd := math.Sqrt(square(a.share*f.SD) + square(liftSD) + square(rescueSD))
	return Point{
		First:     first.Version,
		Then:      then,
		Threshold: a.threshold,
		Cost:      first.Cost + short*next.Cost,
		Quality:   mean - confidence*sd,
		Mean:      mean,
	}
}

func square(x float64) float64 { return x * x }
