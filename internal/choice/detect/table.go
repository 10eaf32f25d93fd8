package detect

import (
	"math"

	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

const (
	// smoothing is how many ratings each bin is given in advance. Without it
	// one score in a bin that was empty so far would be infinite evidence.
	smoothing = 0.5
	// mostWeight bounds how many ratings the reference counts for, so that
	// a rare score never counts for more than about 5.5 nats and no alarm
	// rests on one or two ratings.
	mostWeight = 400
	// fallen is what is left of the quality of a version that turned bad.
	fallen = 0.5
	// garbageBins are the lowest scores, which useless answers get.
	garbageBins = 5
)

// Alternatives are the ways in which a version may have turned bad, each with a
// test of its own: one test against a mixture of them would be slow to see any.
const (
	// halved: every answer is worth half.
	halved = iota
	// lowered: low scores have become likelier, so that the mean is half.
	lowered
	// spoilt: every other answer is useless.
	spoilt
	Alternatives
)

// Table holds the evidence that a score of each bin gives, in nats.
type Table [Alternatives][quality.Bins]float64

// NewTable returns the evidence table of a version that has the given
// distribution of scores, known from so many ratings.
func NewTable(scores [quality.Bins]float64, weight float64) *Table {
	good := smooth(scores, min(weight, mostWeight))
	var t Table
	for i, bad := range turned(good) {
		bad = smooth(bad, mostWeight)
		for bin := range bad {
			t[i][bin] = math.Log(bad[bin] / good[bin])
		}
	}
	return &t
}

// Evidence returns what a score says.
func (t *Table) Evidence(score float64) Evidence {
	var e Evidence
	bin := quality.Bin(score)
	for i := range e.Ratings {
		e.Ratings[i] = t[i][bin]
	}
	return e
}

func smooth(shares [quality.Bins]float64, weight float64) [quality.Bins]float64 {
	for i := range shares {
		shares[i] = (shares[i]*weight + smoothing) / (weight + smoothing*quality.Bins)
	}
	return shares
}

// turned returns how the scores may be distributed after the fall.
func turned(good [quality.Bins]float64) (bad [Alternatives][quality.Bins]float64) {
	bad[lowered] = tilt(good, fallen*mean(good))
	for i, share := range good {
		bad[halved][i/2] += share
		bad[spoilt][i] += share / 2
	}
	for i := range garbageBins {
		bad[spoilt][i] += 0.5 / garbageBins
	}
	return bad
}

func mean(shares [quality.Bins]float64) float64 {
	var sum float64
	for i, share := range shares {
		sum += share * quality.Centre(i)
	}
	return sum
}

// tilt returns the distribution closest to shares that has the given lower mean.
func tilt(shares [quality.Bins]float64, target float64) [quality.Bins]float64 {
	const steepest, steps = 200, 24
	low, high := 0.0, float64(steepest)
	for range steps {
		middle := (low + high) / 2
		if mean(tilted(shares, middle)) > target {
			low = middle
		} else {
			high = middle
		}
	}
	return tilted(shares, high)
}

func tilted(shares [quality.Bins]float64, slope float64) [quality.Bins]float64 {
	var total float64
	for i := range shares {
		shares[i] *= math.Exp(-slope * quality.Centre(i))
		total += shares[i]
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}
