package frontier

import "github.com/hickorybank/hickorybank/internal/choice/quality"

// accepted is what a threshold on the rating lets pass.
type accepted struct {
	threshold float64
	// share of the answers.
	share float64
	// lift is the share times by how much the accepted scores are above the
	// mean of all. The rater's noise lifts scores too: only the reliable part
	// of the lift is quality.
	lift float64
}

// thresholds returns what passes at each edge between two bins.
func thresholds(e *quality.Estimate, into []accepted) []accepted {
	var mean float64
	for i, share := range e.Scores {
		mean += share * quality.Centre(i)
	}
	var a accepted
	for bin := quality.Bins - 1; bin > 0; bin-- {
		share := e.Scores[bin]
		a.share += share
		a.lift += share * (quality.Centre(bin) - mean)
		a.threshold = quality.Edge(bin) + e.Shift
		if share > 0 {
			into = append(into, a)
		}
	}
	return into
}

// cascade returns the way that runs first, and then runs next when the rating
// is not accepted. confidence is in standard deviations.
func cascade(first, next *Option, then []string, a accepted, confidence float64) Point {
	short := 1 - a.share
	f, n := &first.Estimate, &next.Estimate
	mean := a.share*f.Mean + f.Reliability*a.lift + short*n.Rescue
	sd := a.share*f.SD + f.ReliabilitySD*a.lift + short*n.RescueSD
	return Point{
		First:     first.Version,
		Then:      then,
		Threshold: a.threshold,
		Cost:      first.Cost + short*next.Cost,
		Quality:   mean - confidence*sd,
		Mean:      mean,
	}
}
