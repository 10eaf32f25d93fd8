package frontier

import (
	"math"

	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

// acceptance describes the answers that a threshold on the rating accepts.
type acceptance struct {
	threshold float64
	// share is the share of answers accepted, in [0,1].
	share float64
	// linear is the share times the accepted scores' mean deviation from the mean of all
	// scores; square is the share times the excess of their mean squared deviation over
	// the variance.
	linear float64
	square float64
}

// acceptancesByThreshold appends to into the acceptance at each edge between two bins.
func acceptancesByThreshold(e *quality.Estimate, into []acceptance) []acceptance {
	mean, variance := moments(&e.Scores)
	var a acceptance
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

// cascadePoint returns the cascade that runs first, and then next when the rating is not
// accepted. confidence is in standard deviations.
func cascadePoint(first, next *Option, then []string, a acceptance, confidence float64) Point {
	rejected := 1 - a.share
	f, n := &first.Estimate, &next.Estimate
	// The rater's noise raises the accepted ratings, too; the curve separates the part of
	// the lift that is due to quality.
	lift, liftSD := f.Curve.Lift(a.linear, a.square)
	// The accepted scores exceed the mean by as much as the rejected ones are below it.
	fallback, fallbackSD := n.Fallback.Sum(rejected, -a.linear)
	mean := a.share*f.Mean + lift + fallback
	sd := math.Sqrt(square(a.share*f.SD) + square(liftSD) + square(fallbackSD))
	return Point{
		First:     first.Version,
		Then:      then,
		Threshold: a.threshold,
		Cost:      first.Cost + rejected*next.Cost,
		Quality:   mean - confidence*sd,
		Mean:      mean,
	}
}

func square(x float64) float64 { return x * x }
