package quality

import "math"

// Priors, and the rules for replacing a window by a shorter one.
const (
	// priorSD is the standard deviation of a version's quality for one class around the
	// configured prior, which is one figure for all classes.
	priorSD = 0.1
	// priorSpread is the prior standard deviation of single scores.
	priorSpread = 0.2
	// priorSpreadWeight is the number of ratings that this prior counts for.
	priorSpreadWeight = 8
	// windowSwitchSDs is the number of standard deviations by which a shorter window must
	// differ from a longer one to replace it.
	windowSwitchSDs = 2.5
	// minWeight is the number of ratings that a window needs to replace a longer one.
	minWeight = 8
)

// Estimate is the estimated quality of one version for one class.
type Estimate struct {
	// Mean is the expected quality, SD its posterior standard deviation.
	Mean float64
	SD   float64
	// Weight is the decayed number of ratings behind the estimate.
	Weight float64
	// Spread is the standard deviation of single scores.
	Spread float64
	// Scores are the shares of the scores by [Bin]. Shift is Mean minus their own mean.
	Scores [Bins]float64
	Shift  float64
	// Curve gives the expected quality of an answer from its rating.
	Curve Curve
	// Fallback gives the quality of the version's fallback answers.
	Fallback Line
}

// Estimate combines the cell with the prior mean quality configured by the operators.
func (c *Cell) Estimate(prior float64) Estimate {
	window := c.activeWindow()
	e := Estimate{Weight: window.Weight}
	e.Spread = c.spread()
	e.Mean, e.SD = posterior(window, e.Spread, prior)
	e.Scores, e.Shift = c.scores(e.Mean)
	e.Curve = c.Pairs.curve(e.Mean, e.Spread*e.Spread)
	e.Fallback = c.Rescue.line(e.Mean, e.SD, e.Spread)
	return e
}

// activeWindow returns the longest window that no shorter one differs from significantly.
// Without this, a version that got worse would keep its high estimate for hours, because
// older ratings dominate the long window.
func (c *Cell) activeWindow() Moments {
	chosen := c.Long
	for _, shorter := range []Moments{c.Mid, c.Short} {
		if differs(shorter, chosen, c.spread()) {
			chosen = shorter
		}
	}
	return chosen
}

func differs(shorter, longer Moments, spread float64) bool {
	if shorter.Weight < minWeight {
		return false
	}
	sd := spread / math.Sqrt(shorter.Weight)
	return math.Abs(shorter.Mean()-longer.Mean()) > windowSwitchSDs*sd
}

func (c *Cell) spread() float64 {
	const prior = priorSpread * priorSpread * priorSpreadWeight
	variance := (c.Long.Variance()*c.Long.Weight + prior) / (c.Long.Weight + priorSpreadWeight)
	return math.Sqrt(variance)
}

// posterior combines a normal prior with the mean of a window.
func posterior(m Moments, spread, prior float64) (mean, sd float64) {
	priorPrecision := 1 / (priorSD * priorSD)
	samplePrecision := m.Weight / (spread * spread)
	mean = (priorPrecision*prior + samplePrecision*m.Mean()) / (priorPrecision + samplePrecision)
	return mean, 1 / math.Sqrt(priorPrecision+samplePrecision)
}

// scores returns the distribution of the scores. Without enough ratings it is a normal
// distribution around the mean.
func (c *Cell) scores(mean float64) (scores [Bins]float64, shift float64) {
	if c.Long.Weight < minWeight {
		return normalScores(mean), 0
	}
	return shares(c.Scores), mean - c.Long.Mean()
}

func shares(counts [Bins]float64) [Bins]float64 {
	var total float64
	for _, weight := range counts {
		total += weight
	}
	for i := range counts {
		counts[i] /= total
	}
	return counts
}

func normalScores(mean float64) (scores [Bins]float64) {
	for i := range scores {
		d := (Centre(i) - mean) / priorSpread
		scores[i] = math.Exp(-d * d / 2)
	}
	return shares(scores)
}
