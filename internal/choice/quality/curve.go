package quality

import "math"

// The prior of the curve before any pairs are known. Until then, a rating is given little
// weight.
const (
	priorSlope   = 0.45
	priorSlopeSD = 0.25
	priorBend    = 0.0
	priorBendSD  = 0.6
	// pairSpread is the standard deviation of a second rating around the curve.
	pairSpread = 0.12
)

// Curve gives the expected quality of an answer from its rating: the version's mean, plus
// Slope times the rating's deviation from the mean rating, plus Bend times the excess of
// the squared deviation over its mean. A rater without noise has a slope of 1 and a bend
// of 0; one that guesses has a slope of 0.
type Curve struct {
	Slope float64
	Bend  float64
	// SlopeVariance, BendVariance and Covariance are the posterior covariances of both.
	SlopeVariance float64
	BendVariance  float64
	Covariance    float64
}

// Lift returns the mean and the standard deviation of Slope*linear + Bend*square.
func (c *Curve) Lift(linear, square float64) (mean, sd float64) {
	variance := linear*linear*c.SlopeVariance + 2*linear*square*c.Covariance + square*square*c.BendVariance
	return c.Slope*linear + c.Bend*square, math.Sqrt(max(variance, 0))
}

// curve fits a curve to the pairs by Bayesian linear regression. mean and variance are
// those of the version's scores.
func (p *Pairs) curve(mean, variance float64) Curve {
	f := p.features(mean, variance)
	const weight = 1 / (pairSpread * pairSpread)
	const slopeWeight = 1 / (priorSlopeSD * priorSlopeSD)
	const bendWeight = 1 / (priorBendSD * priorBendSD)
	a := slopeWeight + weight*f.linearLinear
	b := weight * f.linearSquare
	d := bendWeight + weight*f.squareSquare
	x := slopeWeight*priorSlope + weight*f.linearScore
	y := bendWeight*priorBend + weight*f.squareScore
	det := a*d - b*b
	return Curve{
		Slope:         (d*x - b*y) / det,
		Bend:          (a*y - b*x) / det,
		SlopeVariance: d / det,
		BendVariance:  a / det,
		Covariance:    -b / det,
	}
}

// features holds the sums over the pairs of the products of the two regressors with each
// other and with the second score.
type features struct {
	linearLinear float64
	linearSquare float64
	squareSquare float64
	linearScore  float64
	squareScore  float64
}

func (p *Pairs) features(mean, variance float64) features {
	d := mean - pairCentre
	n, u := p.Count, p.Powers
	w1 := u[0] - d*n
	w2 := u[1] - 2*d*u[0] + d*d*n
	w3 := u[2] - 3*d*u[1] + 3*d*d*u[0] - d*d*d*n
	w4 := u[3] - 4*d*u[2] + 6*d*d*u[1] - 4*d*d*d*u[0] + d*d*d*d*n
	cross := p.Cross[0] - 2*d*u[0] + d*d*n
	square := p.Cross[1] - d*u[1] - 2*d*p.Cross[0] + 3*d*d*u[0] - d*d*d*n
	return features{
		linearLinear: w2,
		linearSquare: w3 - variance*w1,
		squareSquare: w4 - 2*variance*w2 + variance*variance*n,
		linearScore:  cross,
		squareScore:  square - variance*w1,
	}
}
