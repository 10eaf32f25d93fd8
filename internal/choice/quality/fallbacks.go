package quality

import "math"

// The prior of fallback answers before any are rated.
const (
	// fallbackSD is the standard deviation of a version's quality on requests that
	// another version narrowly missed the threshold on, around its quality on all
	// requests.
	fallbackSD = 0.015
	// priorHardness and priorHardnessSD are the prior of a line's slope. A request that
	// another version answered badly is hard, so this version is a little worse on it,
	// too.
	priorHardness   = 0.1
	priorHardnessSD = 0.15
)

// Fallbacks summarises the ratings of fallback answers, which followed another version's
// rejected answer.
type Fallbacks struct {
	Moments
	// Scores counts the ratings by [Bin].
	Scores [Bins]float64
	// Short and ShortSquares are the sum and the sum of squares of the rejected ratings'
	// deviations from the mean rating of their version, mostly negative. Cross is the sum
	// of the products of these deviations with the fallback's ratings.
	Short        float64
	ShortSquares float64
	Cross        float64
}

func (r *Fallbacks) add(score, deviation float64) {
	r.Moments.add(score)
	r.Scores[Bin(score)]++
	r.Short += deviation
	r.ShortSquares += deviation * deviation
	r.Cross += deviation * score
}

func (r *Fallbacks) plus(o Fallbacks) {
	r.Moments.plus(o.Moments)
	for i := range r.Scores {
		r.Scores[i] += o.Scores[i]
	}
	r.Short += o.Short
	r.ShortSquares += o.ShortSquares
	r.Cross += o.Cross
}

func (r *Fallbacks) scale(f float64) {
	r.Moments.scale(f)
	for i := range r.Scores {
		r.Scores[i] *= f
	}
	r.Short *= f
	r.ShortSquares *= f
	r.Cross *= f
}

// Shares returns the distribution of the fallback answers' scores.
func (r *Fallbacks) Shares() [Bins]float64 { return shares(r.Scores) }

// Line gives the expected quality of a version's fallback answer: Level, plus Slope times
// the deviation of the rejected rating from its version's mean.
type Line struct {
	Level float64
	Slope float64
	// LevelVariance, SlopeVariance and Covariance are the posterior covariances of both.
	LevelVariance float64
	SlopeVariance float64
	Covariance    float64
}

// Sum returns the mean and the standard deviation of Level*share +
// Slope*deviation.
func (l *Line) Sum(share, deviation float64) (mean, sd float64) {
	variance := share*share*l.LevelVariance + 2*share*deviation*l.Covariance + deviation*deviation*l.SlopeVariance
	return share*l.Level + deviation*l.Slope, math.Sqrt(max(variance, 0))
}

// line fits a line to the fallback ratings by Bayesian linear regression. mean and sd are
// the version's estimated quality on all requests, spread the standard deviation of
// single scores.
func (r *Fallbacks) line(mean, sd, spread float64) Line {
	weight := 1 / (spread * spread)
	levelWeight := 1 / (fallbackSD*fallbackSD + sd*sd)
	const slopeWeight = 1 / (priorHardnessSD * priorHardnessSD)
	a := levelWeight + weight*r.Weight
	b := weight * r.Short
	d := slopeWeight + weight*r.ShortSquares
	x := levelWeight*mean + weight*r.Moments.Sum
	y := slopeWeight*priorHardness + weight*r.Cross
	det := a*d - b*b
	return Line{
		Level:         (d*x - b*y) / det,
		Slope:         (a*y - b*x) / det,
		LevelVariance: d / det,
		SlopeVariance: a / det,
		Covariance:    -b / det,
	}
}
