package quality

import "math"

// What is believed of rescues before any is rated.
const (
	// rescueSD is how far a version's quality on the requests that another
	// fell a little short of may be from its quality on all requests.
	rescueSD = 0.015
	// A request that another version did badly on is a hard one, for which
	// this version is a little worse, too.
	priorHardness   = 0.1
	priorHardnessSD = 0.15
)

// Rescues sums up the ratings of answers that were run after another version's
// answer had fallen short.
type Rescues struct {
	Moments
	// Scores counts the ratings by [Bin].
	Scores [Bins]float64
	// Short and ShortSquares sum by how much the rating that fell short was
	// above the mean rating of its version (mostly it is below), and the
	// square of that; Cross sums its product with the rescue's rating.
	Short        float64
	ShortSquares float64
	Cross        float64
}

func (r *Rescues) add(score, short float64) {
	r.Moments.add(score)
	r.Scores[Bin(score)]++
	r.Short += short
	r.ShortSquares += short * short
	r.Cross += short * score
}

func (r *Rescues) plus(o Rescues) {
	r.Moments.plus(o.Moments)
	for i := range r.Scores {
		r.Scores[i] += o.Scores[i]
	}
	r.Short += o.Short
	r.ShortSquares += o.ShortSquares
	r.Cross += o.Cross
}

func (r *Rescues) scale(f float64) {
	r.Moments.scale(f)
	for i := range r.Scores {
		r.Scores[i] *= f
	}
	r.Short *= f
	r.ShortSquares *= f
	r.Cross *= f
}

// Shares returns the distribution of the rescues' scores.
func (r *Rescues) Shares() [Bins]float64 { return shares(r.Scores) }

// Line tells what a version's answer is worth when another's fell short: Level,
// plus Slope times by how much the short rating was above its version's mean.
type Line struct {
	Level float64
	Slope float64
	// The covariances of the belief in both.
	LevelVariance float64
	SlopeVariance float64
	Covariance    float64
}

// Sum returns the mean and the standard deviation of Level*share + Slope*short.
func (l *Line) Sum(share, short float64) (mean, sd float64) {
	variance := share*share*l.LevelVariance + 2*share*short*l.Covariance + short*short*l.SlopeVariance
	return share*l.Level + short*l.Slope, math.Sqrt(max(variance, 0))
}

// line fits a line through the rescues, by Bayesian linear regression; mean and
// sd are the belief in the version's quality on all requests.
func (r *Rescues) line(mean, sd, spread float64) Line {
	weight := 1 / (spread * spread)
	levelWeight := 1 / (rescueSD*rescueSD + sd*sd)
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
