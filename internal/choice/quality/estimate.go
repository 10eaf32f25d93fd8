package quality

import "math"

// What is believed before ratings are in.
const (
	// priorSD is how far a version's quality for a class may be from what
	// the operators believe of the version over all classes.
	priorSD = 0.1
	// priorSpread is the standard deviation of single scores.
	priorSpread = 0.2
	// priorSpreadWeight is how many ratings that belief is worth.
	priorSpreadWeight = 8
	// priorNoise is the standard deviation of the rater's noise. It is set
	// high, so that a rating is not trusted before pairs have shown the noise.
	priorNoise       = 0.15
	priorNoiseWeight = 4
	// rescueWeight is how many ratings the belief is worth that a version is
	// as good on requests that another fell short of, and rescueSD how far
	// off that belief may be.
	rescueWeight = 10
	rescueSD     = 0.04
	// contradiction is by how many standard deviations a shorter memory must
	// differ from a longer one to be believed in its place.
	contradiction = 2.5
	// leastWeight is how many ratings a memory needs to contradict.
	leastWeight = 8
)

// Estimate is what is known of one version for one class.
type Estimate struct {
	// Mean is the expected quality, SD the standard deviation of the belief.
	Mean float64
	SD   float64
	// Weight is how many ratings the estimate rests on.
	Weight float64
	// Spread is the standard deviation of single scores.
	Spread float64
	// Scores are the shares of the scores by [Bin]. Their own mean is
	// Mean - Shift.
	Scores [Bins]float64
	Shift  float64
	// Reliability is the share of the scores' variance that is the answers'
	// own, and ReliabilitySD its standard deviation.
	Reliability   float64
	ReliabilitySD float64
	// Rescue is the expected quality after another version fell short, and
	// RescueSD its standard deviation.
	Rescue   float64
	RescueSD float64
}

// Estimate returns what the cell and the operators' belief say together.
func (c *Cell) Estimate(prior float64) Estimate {
	memory := c.memory()
	e := Estimate{Weight: memory.Weight}
	e.Spread = c.spread()
	e.Mean, e.SD = posterior(memory, e.Spread, prior)
	e.Scores, e.Shift = c.scores(e.Mean)
	e.Reliability, e.ReliabilitySD = c.reliability(e.Spread)
	e.Rescue, e.RescueSD = c.rescue(e)
	return e
}

// memory returns the longest memory that no shorter one contradicts. Without
// this a version that got worse would keep its good name for hours, because
// the long memory is dominated by what was before.
func (c *Cell) memory() Moments {
	chosen := c.Long
	for _, shorter := range []Moments{c.Mid, c.Short} {
		if contradicts(shorter, chosen, c.spread()) {
			chosen = shorter
		}
	}
	return chosen
}

func contradicts(shorter, longer Moments, spread float64) bool {
	if shorter.Weight < leastWeight {
		return false
	}
	sd := spread / math.Sqrt(shorter.Weight)
	return math.Abs(shorter.Mean()-longer.Mean()) > contradiction*sd
}

func (c *Cell) spread() float64 {
	const prior = priorSpread * priorSpread * priorSpreadWeight
	variance := (c.Long.Variance()*c.Long.Weight + prior) / (c.Long.Weight + priorSpreadWeight)
	return math.Sqrt(variance)
}

// posterior combines a normal prior with the memory's mean.
func posterior(m Moments, spread, prior float64) (mean, sd float64) {
	before := 1 / (priorSD * priorSD)
	seen := m.Weight / (spread * spread)
	mean = (before*prior + seen*m.Mean()) / (before + seen)
	return mean, 1 / math.Sqrt(before+seen)
}

// scores returns the distribution of the scores. Without ratings it is a
// coarse bell around the mean.
func (c *Cell) scores(mean float64) (shares [Bins]float64, shift float64) {
	if c.Long.Weight < leastWeight {
		return bell(mean), 0
	}
	var total float64
	for _, weight := range c.Scores {
		total += weight
	}
	for i, weight := range c.Scores {
		shares[i] = weight / total
	}
	return shares, mean - c.Long.Mean()
}

func bell(mean float64) (shares [Bins]float64) {
	var total float64
	for i := range shares {
		d := (Centre(i) - mean) / priorSpread
		shares[i] = math.Exp(-d * d / 2)
		total += shares[i]
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}

// reliability is 1 less the noise's share of the variance.
func (c *Cell) reliability(spread float64) (mean, sd float64) {
	pairs := c.Pairs + priorNoiseWeight
	noise := (c.PairSquares + priorNoise*priorNoise*priorNoiseWeight) / pairs
	share := noise / (spread * spread)
	return min(max(1-share, 0), 1), share * math.Sqrt(2/pairs)
}

// rescue expects no better answers to hard requests than to all.
func (c *Cell) rescue(e Estimate) (mean, sd float64) {
	weight := c.Rescue.Weight
	offset := c.Rescue.Sum - weight*e.Mean
	mean = e.Mean + min(offset/(weight+rescueWeight), 0)
	own := rescueSD * math.Sqrt(rescueWeight/(weight+rescueWeight))
	return mean, math.Hypot(own, e.SD)
}
