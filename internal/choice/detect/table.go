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

// Table holds the evidence that a score of each bin gives, in nats.
type Table [quality.Bins]float64

// NewTable returns the evidence table of a version that has the given
// distribution of scores, known from so many ratings.
func NewTable(scores [quality.Bins]float64, weight float64) *Table {
	good := smooth(scores, min(weight, mostWeight))
	bad := smooth(turned(good), mostWeight)
	var t Table
	for i := range t {
		t[i] = math.Log(bad[i] / good[i])
	}
	return &t
}

// Evidence returns what a score says, in nats.
func (t *Table) Evidence(score float64) float64 { return t[quality.Bin(score)] }

func smooth(shares [quality.Bins]float64, weight float64) [quality.Bins]float64 {
	for i := range shares {
		shares[i] = (shares[i]*weight + smoothing) / (weight + smoothing*quality.Bins)
	}
	return shares
}

// turned returns how the scores may be distributed after the fall: a third
// each of all scores halved, of low scores having become likelier, and of
// every other answer having become useless.
func turned(good [quality.Bins]float64) (bad [quality.Bins]float64) {
	lower := tilt(good, fallen*mean(good))
	for i := range bad {
		bad[i/2] += good[i] / 3
		bad[i] += lower[i] / 3
		bad[i] += good[i] / 6
	}
	for i := range garbageBins {
		bad[i] += 1.0 / 6 / garbageBins
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
	const steepest, steps = 200, 40
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
