package detect

import (
	"math"

	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

const (
	// pseudoCount is the number of ratings added to each bin. Without it, one score in a
	// bin that was empty so far would be infinite evidence.
	pseudoCount = 0.5
	// maxReferenceWeight bounds the number of ratings that the reference counts for, so
	// that a rare score contributes at most about 5.5 nats and no alarm depends on one or
	// two ratings.
	maxReferenceWeight = 400
	// degradedQuality is the share of its quality that a degraded version keeps.
	degradedQuality = 0.5
	// uselessBins is the number of lowest score bins, which useless answers fall into.
	uselessBins = 5
)

// The kinds of degradation. Each has its own test, since one test against a mixture of
// them would be slow to detect any.
const (
	// halved: every score is halved.
	halved = iota
	// lowered: low scores are more frequent, so that the mean is half.
	lowered
	// halfUseless: every other answer is useless.
	halfUseless
	// Alternatives is the number of kinds.
	Alternatives
)

// Table holds, for each kind of degradation, the evidence of a score in each bin, in
// nats.
type Table [Alternatives][quality.Bins]float64

// NewTable returns the evidence table of a version with the given distribution of scores,
// which is estimated from weight ratings.
func NewTable(scores [quality.Bins]float64, weight float64) *Table {
	good := smooth(scores, min(weight, maxReferenceWeight))
	var t Table
	for i, bad := range degraded(good) {
		bad = smooth(bad, maxReferenceWeight)
		for bin := range bad {
			t[i][bin] = math.Log(bad[bin] / good[bin])
		}
	}
	return &t
}

// Evidence returns the evidence of one score in [0,1].
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
		shares[i] = (shares[i]*weight + pseudoCount) / (weight + pseudoCount*quality.Bins)
	}
	return shares
}

// degraded returns the distribution of scores for each kind of degradation.
func degraded(good [quality.Bins]float64) (bad [Alternatives][quality.Bins]float64) {
	bad[lowered] = tiltToMean(good, degradedQuality*mean(good))
	for i, share := range good {
		bad[halved][i/2] += share
		bad[halfUseless][i] += share / 2
	}
	for i := range uselessBins {
		bad[halfUseless][i] += 0.5 / uselessBins
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

// tiltToMean returns the distribution closest to shares that has the given lower mean.
func tiltToMean(shares [quality.Bins]float64, target float64) [quality.Bins]float64 {
	const steepest, steps = 200, 24
	low, high := 0.0, float64(steepest)
	for range steps {
		middle := (low + high) / 2
		if mean(exponentialTilt(shares, middle)) > target {
			low = middle
		} else {
			high = middle
		}
	}
	return exponentialTilt(shares, high)
}

func exponentialTilt(shares [quality.Bins]float64, slope float64) [quality.Bins]float64 {
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
