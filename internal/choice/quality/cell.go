package quality

import (
	"math"
	"time"
)

// The half-lives of the three windows. A shorter window replaces a longer one as soon as
// the two differ significantly; see [Cell.Estimate].
const (
	LongHalfLife  = 8 * time.Hour
	MidHalfLife   = time.Hour
	ShortHalfLife = 10 * time.Minute
)

// Cell summarises the observations of one version for one class. Its weights decay
// exponentially; At is the Unix time in nanoseconds that they are valid for.
type Cell struct {
	At    int64
	Long  Moments
	Mid   Moments
	Short Moments
	// Scores counts ratings by [Bin], in the long window.
	Scores [Bins]float64
	// Pairs summarises the answers that were rated twice, in the long window.
	Pairs Pairs
	// Rescue summarises the ratings of fallback answers, which followed another version's
	// rejected answer, in the long window.
	Rescue Fallbacks
	// Took holds the durations of answers in seconds, Input and Output the sums of their
	// tokens, in the middle window.
	Took   Moments
	Input  float64
	Output float64
}

// Advance decays the weights until now. An earlier time changes nothing.
func (c *Cell) Advance(now int64) {
	if c.At == 0 {
		c.At = now
	}
	if now <= c.At {
		return
	}
	age := float64(now - c.At)
	c.At = now
	longFactor := math.Exp2(-age / float64(LongHalfLife))
	midFactor := math.Exp2(-age / float64(MidHalfLife))
	c.scaleLong(longFactor)
	c.scaleMid(midFactor)
	c.Short.scale(math.Exp2(-age / float64(ShortHalfLife)))
}

func (c *Cell) scaleLong(factor float64) {
	c.Long.scale(factor)
	for i := range c.Scores {
		c.Scores[i] *= factor
	}
	c.Pairs.scale(factor)
	c.Rescue.scale(factor)
}

func (c *Cell) scaleMid(factor float64) {
	c.Mid.scale(factor)
	c.Took.scale(factor)
	c.Input *= factor
	c.Output *= factor
}

// Weight returns the decayed number of ratings and answers in the cell.
func (c *Cell) Weight() float64 { return c.Long.Weight + c.Rescue.Weight + c.Took.Weight }

// AddScore adds a rating in [0,1].
func (c *Cell) AddScore(score float64, now int64) {
	c.Advance(now)
	c.Long.add(score)
	c.Mid.add(score)
	c.Short.add(score)
	c.Scores[Bin(score)]++
}

// AddPair adds two independent ratings of one answer, from which the rater's noise is
// estimated.
func (c *Cell) AddPair(first, second float64, now int64) {
	c.Advance(now)
	c.Pairs.add(first, second)
}

// AddFallback adds the rating of a fallback answer. deviation is the rating of the rejected
// answer minus the mean rating of its version.
func (c *Cell) AddFallback(score, deviation float64, now int64) {
	c.Advance(now)
	c.Rescue.add(score, deviation)
}

// AddAnswer adds the duration and the tokens of an answer.
func (c *Cell) AddAnswer(took time.Duration, input, output int, now int64) {
	c.Advance(now)
	c.Took.add(took.Seconds())
	c.Input += float64(input)
	c.Output += float64(output)
}

// Plus adds another cell after decaying both to the later of their times.
func (c *Cell) Plus(o Cell) {
	c.Advance(o.At)
	o.Advance(c.At)
	c.Long.plus(o.Long)
	c.Mid.plus(o.Mid)
	c.Short.plus(o.Short)
	for i := range c.Scores {
		c.Scores[i] += o.Scores[i]
	}
	c.Pairs.plus(o.Pairs)
	c.Rescue.plus(o.Rescue)
	c.Took.plus(o.Took)
	c.Input += o.Input
	c.Output += o.Output
}
