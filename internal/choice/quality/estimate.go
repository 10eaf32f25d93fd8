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
	// Curve tells what an answer with a given rating is worth.
	Curve Curve
	// Rescue tells the quality after another version fell short.
	Rescue Line
}

// Estimate returns what the cell and the operators' belief say together.
func (c *Cell) Estimate(prior float64) Estimate {
	memory := c.memory()
	e := Estimate{Weight: memory.Weight}
	e.Spread = c.spread()
	e.Mean, e.SD = posterior(memory, e.Spread, prior)
	e.Scores, e.Shift = c.scores(e.Mean)
	e.Curve = c.Pairs.curve(e.Mean, e.Spread*e.Spread)
	e.Rescue = c.Rescue.line(e.Mean, e.SD, e.Spread)
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
func (c *Cell) scores(mean float64) (scores [Bins]float64, shift float64) {
	if c.Long.Weight < leastWeight {
		return bell(mean), 0
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

func bell(mean float64) (scores [Bins]float64) {
	for i := range scores {
		d := (Centre(i) - mean) / priorSpread
		scores[i] = math.Exp(-d * d / 2)
	}
	return shares(scores)
}
