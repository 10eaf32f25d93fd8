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

// A good version is held at night for nothing. The bound on false alarms holds
// only if, for scores that are distributed as the reference says, the likelihood
// ratio has mean 1 at most.
func TestLikelihoodRatioIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := drawShares(t)
		weight := rapid.Float64Range(30, 5000).Draw(t, "weight")
		table := NewTable(shares, weight)
		good := smooth(shares, min(weight, mostWeight))
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

func TestNoAlarmRestsOnTwoRatings(t *testing.T) {
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

// Evidence of several ratings comes as one number from a peer. That must not
// alarm earlier than the ratings one by one would have.
func TestBatchedEvidenceIsNeverHigher(t *testing.T) {
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

// drift is the mean evidence of a rating by the test that sees most.
func drift(table *Table, scores map[float64]float64) float64 {
	var sum [Alternatives]float64
	for score, share := range scores {
		for i, nats := range table.Evidence(score).Ratings {
			sum[i] += share * nats
		}
	}
	return max(sum[halved], sum[lowered], sum[spoilt])
}

func TestEachKindOfBadTurnIsSeen(t *testing.T) {
	is := is.New(t)
	var narrow, wide, coarse [quality.Bins]float64
	narrow[13], narrow[14] = 0.5, 0.5
	for i := 6; i < quality.Bins; i++ {
		wide[i] = 0.1
	}
	coarse[0], coarse[15] = 0.1, 0.9
	for name, good := range map[string][quality.Bins]float64{"narrow": narrow, "wide": wide, "coarse": coarse} {
		table := NewTable(good, 400)
		kept, half, useless := map[float64]float64{}, map[float64]float64{}, map[float64]float64{0.05: 0.5}
		for i, share := range good {
			kept[quality.Centre(i)] += share
			half[quality.Centre(i)/2] += share
			useless[quality.Centre(i)] += share / 2
		}
		t.Log(name, drift(table, kept), drift(table, half), drift(table, useless))
		is.True(drift(table, kept) < -0.1) // good scores speak for the version
		is.True(drift(table, half) > 1)
		is.True(drift(table, useless) > 0.3)
	}
	is.True(drift(NewTable(coarse, 400), map[float64]float64{0: 0.55, 1: 0.45}) > 0.5) // half of the answers right
}

// A version that once had a bad hour is held for a few bad answers a day later.
// What good ratings have cleared must not count again.
func TestGoodRatingsClear(t *testing.T) {
	is := is.New(t)
	var c Cusum
	is.Equal(c.Add(10), 10.0)
	is.Equal(c.Add(-4), 6.0)
	is.Equal(c.Add(-100), 0.0) // and no credit for later
	is.Equal(c.Add(3), 3.0)
}
