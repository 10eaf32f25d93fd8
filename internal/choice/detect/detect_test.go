package detect

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

func drawShares(t *rapid.T) (shares [quality.Bins]float64) {
	var total float64
	for i := range shares {
		shares[i] = rapid.Float64Range(0, 1).Draw(t, "share")
		total += shares[i]
	}
	if total == 0 {
		shares[quality.Bins-1], total = 1, 1
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}

// The bound on false alarms holds only if the likelihood ratio has a mean of at most 1
// for scores distributed as the reference. Otherwise versions that have not degraded are
// held.
func TestLikelihoodRatioHasMeanOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := drawShares(t)
		weight := rapid.Float64Range(30, 5000).Draw(t, "weight")
		table := NewTable(shares, weight)
		good := smooth(shares, min(weight, maxReferenceWeight))
		for alternative := range table {
			var mean float64
			for i, share := range good {
				mean += share * math.Exp(table[alternative][i])
			}
			if math.Abs(mean-1) > 1e-9 {
				t.Fatalf("mean likelihood ratio is %v", mean)
			}
		}
	})
}

// One or two ratings must never suffice for an alarm. Without smoothing, a score in an
// empty bin would count for unbounded evidence.
func TestEvidenceOfOneRatingIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(drawShares(t), math.Inf(1))
		for _, alternative := range table {
			for _, nats := range alternative {
				if nats > 7 {
					t.Fatalf("one rating counts for %v nats", nats)
				}
			}
		}
	})
}

// A peer sends the evidence of several ratings as one sum. That must not raise an alarm
// earlier than the single ratings would have.
func TestBatchedEvidenceNeverExceedsSingle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var single, batched Cusum
		var sum float64
		for range rapid.IntRange(1, 50).Draw(t, "ratings") {
			nats := rapid.Float64Range(-3, 3).Draw(t, "nats")
			single.Add(nats)
			sum += nats
			if rapid.Bool().Draw(t, "send") {
				batched.Add(sum)
				sum = 0
				if batched.Value() > single.Value()+1e-9 {
					t.Fatalf("%v batched, %v one by one", batched.Value(), single.Value())
				}
			}
		}
	})
}

// maxMeanEvidence returns the mean evidence of a rating in the test where it is highest.
func maxMeanEvidence(table *Table, scores map[float64]float64) float64 {
	var sum [Alternatives]float64
	for score, share := range scores {
		for i, nats := range table.Evidence(score).Ratings {
			sum[i] += share * nats
		}
	}
	return max(sum[halved], sum[lowered], sum[halfUseless])
}

// Each kind of degradation must raise at least one statistic, whatever the shape of the
// reference distribution, and unchanged scores must lower all of them.
func TestEachKindOfDegradationIsDetected(t *testing.T) {
	is := is.New(t)
	var narrow, wide, coarse [quality.Bins]float64
	narrow[13], narrow[14] = 0.5, 0.5
	for i := 6; i < quality.Bins; i++ {
		wide[i] = 0.1
	}
	coarse[0], coarse[15] = 0.1, 0.9
	for name, good := range map[string][quality.Bins]float64{"narrow": narrow, "wide": wide, "coarse": coarse} {
		table := NewTable(good, 400)
		unchanged, halvedScores, halfUselessScores := map[float64]float64{}, map[float64]float64{}, map[float64]float64{0.05: 0.5}
		for i, share := range good {
			unchanged[quality.Centre(i)] += share
			halvedScores[quality.Centre(i)/2] += share
			halfUselessScores[quality.Centre(i)] += share / 2
		}
		t.Log(name, maxMeanEvidence(table, unchanged), maxMeanEvidence(table, halvedScores), maxMeanEvidence(table, halfUselessScores))
		is.True(maxMeanEvidence(table, unchanged) < -0.1) // unchanged scores are evidence for the version
		is.True(maxMeanEvidence(table, halvedScores) > 1)
		is.True(maxMeanEvidence(table, halfUselessScores) > 0.3)
	}
	is.True(maxMeanEvidence(NewTable(coarse, 400), map[float64]float64{0: 0.55, 1: 0.45}) > 0.5) // about half of the answers are wrong
}

// Evidence that good ratings have cleared must not count again. Otherwise a version that
// recovered from a bad hour is held for a few bad answers a day later.
func TestNegativeEvidenceClearsWithoutCredit(t *testing.T) {
	is := is.New(t)
	var c Cusum
	is.Equal(c.Add(10), 10.0)
	is.Equal(c.Add(-4), 6.0)
	is.Equal(c.Add(-100), 0.0) // no credit accumulates
	is.Equal(c.Add(3), 3.0)
}
