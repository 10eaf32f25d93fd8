package quality

import (
	"math"
	"time"
)

// The half-lives of the three memories. A change is followed as soon as a
// shorter memory contradicts a longer one; see [Cell.Estimate].
const (
	LongHalfLife  = 8 * time.Hour
	MidHalfLife   = time.Hour
	ShortHalfLife = 10 * time.Minute
)

// Cell sums up what was seen of one version for one class. Its weights decay
// with time; At is the Unix time in nanoseconds that they are valid for.
type Cell struct {
	At    int64
	Long  Moments
	Mid   Moments
	Short Moments
	// Scores counts ratings by [Bin], in the long memory.
	Scores [Bins]float64
	// Pairs sums up the answers that were rated twice, in the long memory.
	Pairs Pairs
	// Rescue sums up ratings of answers that were run after another
	// version's answer had fallen short, in the long memory.
	Rescue Rescues
	// Took holds the answers' durations in seconds, in the mid memory, with
	// the sums of their tokens.
	Took   Moments
	Input  float64
	Output float64
}

// Advance lets the weights decay until a time. An earlier time changes nothing.
func (c *Cell) Advance(now int64) {
	if c.At == 0 {
		c.At = now
	}
	if now <= c.At {
		return
	}
	age := float64(now - c.At)
	c.At = now
	long := math.Exp2(-age / float64(LongHalfLife))
	mid := math.Exp2(-age / float64(MidHalfLife))
	c.scaleLong(long)
	c.scaleMid(mid)
	c.Short.scale(math.Exp2(-age / float64(ShortHalfLife)))
}

func (c *Cell) scaleLong(f float64) {
	c.Long.scale(f)
	for i := range c.Scores {
		c.Scores[i] *= f
	}
	c.Pairs.scale(f)
	c.Rescue.scale(f)
}

func (c *Cell) scaleMid(f float64) {
	c.Mid.scale(f)
	c.Took.scale(f)
	c.Input *= f
	c.Output *= f
}

// Weight is how many ratings and answers the cell still holds.
func (c *Cell) Weight() float64 { return c.Long.Weight + c.Rescue.Weight + c.Took.Weight }

// AddScore counts a rating.
func (c *Cell) AddScore(score float64, now int64) {
	c.Advance(now)
	c.Long.add(score)
	c.Mid.add(score)
	c.Short.add(score)
	c.Scores[Bin(score)]++
}

// AddPair counts two independent ratings of one answer towards what a rating
// is worth.
func (c *Cell) AddPair(first, second float64, now int64) {
	c.Advance(now)
	c.Pairs.add(first, second)
}

// AddRescue counts a rating of an answer that followed one that fell short;
// short is by how much the rating of that one was above its version's mean.
func (c *Cell) AddRescue(score, short float64, now int64) {
	c.Advance(now)
	c.Rescue.add(score, short)
}

// AddAnswer counts an answer's duration and tokens.
func (c *Cell) AddAnswer(took time.Duration, input, output int, now int64) {
	c.Advance(now)
	c.Took.add(took.Seconds())
	c.Input += float64(input)
	c.Output += float64(output)
}

// Plus adds another cell, as both are at the later of their times.
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
