package quality

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var key = Key{Version: "v@1", Class: "draft"}

func at(d time.Duration) int64 { return int64(time.Hour) + int64(d) }

func drawSummarySequence(t *rapid.T) []Summary {
	recorders := make([]*Recorder, rapid.IntRange(1, 4).Draw(t, "runs"))
	for i := range recorders {
		recorders[i] = NewRecorder(Run{Node: string(rune('a' + i/2)), Epoch: uint64(i)})
	}
	var list []Summary
	for range rapid.IntRange(1, 20).Draw(t, "ratings") {
		b := recorders[rapid.IntRange(0, len(recorders)-1).Draw(t, "run")]
		seconds := rapid.IntRange(0, 3600).Draw(t, "second")
		score := rapid.Float64Range(0, 1).Draw(t, "score")
		b.Cell(key).AddScore(score, at(time.Duration(seconds)*time.Second))
		list = append(list, b.Summary(func(Key) bool { return true }))
	}
	return list
}

func total(s *Store) Cell {
	var c Cell
	s.Add(&c, key, func(Run) bool { return true })
	return c
}

// Peers repeat summaries after a lost reply, and a late summary may arrive after a newer
// one. Only the latest summary of a run may count; otherwise nodes disagree on estimates
// or count ratings twice.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		summaries := drawSummarySequence(t)
		inOrder, shuffled := NewStore(), NewStore()
		for _, s := range summaries {
			inOrder.Merge(s)
		}
		for _, s := range append(rapid.Permutation(summaries).Draw(t, "order"), rapid.Permutation(summaries).Draw(t, "again")...) {
			shuffled.Merge(s)
		}
		if total(inOrder) != total(shuffled) {
			t.Fatalf("%+v\n%+v", total(inOrder), total(shuffled))
		}
		if shuffled.Merge(summaries[0]) {
			t.Fatal("an old summary was kept")
		}
	})
}

// The ratings of a node that is gone must count until they have decayed, while the number
// of stored runs must stay bounded as nodes are replaced.
func TestEndedRunsAreKeptUntilDecayed(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	for i := range 2 * MaxRuns {
		b := NewRecorder(Run{Node: "n", Epoch: uint64(i)})
		for range 1 + i%2 {
			b.Cell(key).AddScore(0.5, at(0))
		}
		s.Merge(b.Summary(func(Key) bool { return true }))
	}
	is.Equal(s.Len(), MaxRuns)
	c := total(s)
	is.Equal(c.Long.Weight, float64(2*MaxRuns)) // the runs with less weight were dropped
	s.Forget(at(LongHalfLife))
	is.Equal(s.Len(), MaxRuns)
	s.Forget(at(4 * LongHalfLife))
	is.Equal(s.Len(), 0)
}

// Recent ratings must outweigh the long window after a change of quality.
func TestEstimateFollowsAQualityChange(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var c Cell
	rate := func(mean float64, from time.Duration, n int) {
		for i := range n {
			c.AddScore(mean+0.1*rng.NormFloat64(), at(from+time.Duration(i)*time.Second))
		}
	}
	rate(0.8, 0, 8*3600)
	e := c.Estimate(0.5)
	is.True(math.Abs(e.Mean-0.8) < 0.01)
	is.True(e.SD < 0.002)
	rate(0.7, 8*time.Hour, 1800)
	e = c.Estimate(0.5)
	is.True(math.Abs(e.Mean-0.7) < 0.02) // half an hour of ratings outweighs eight hours
	is.True(e.SD > 0.002)                // the estimate is less certain
}

// The slope must be the share of the variance that is due to the answers: 0 for a rater
// that guesses.
func TestCurveSeparatesRaterNoiseFromSpread(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var informative, guessing Cell
	for range 2000 {
		answer := 0.6 + 0.15*rng.NormFloat64()
		rate := func() float64 { return answer + 0.075*rng.NormFloat64() }
		guess := func() float64 { return 0.6 + 0.17*rng.NormFloat64() }
		first := rate()
		informative.AddScore(first, at(0))
		informative.AddPair(first, rate(), at(0))
		first = guess()
		guessing.AddScore(first, at(0))
		guessing.AddPair(first, guess(), at(0))
	}
	curve := informative.Estimate(0.6).Curve
	is.True(math.Abs(curve.Slope-0.8) < 0.04) // 0.15^2 / (0.15^2 + 0.075^2)
	is.True(math.Abs(curve.Bend) < 0.2)
	is.True(math.Abs(guessing.Estimate(0.6).Curve.Slope) < 0.06)
}

// Requests whose first answer is rejected are harder, so the fallback's quality must be
// estimated by how far the first rating was below its mean.
func TestFallbackLineFindsHarderRequests(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var c Cell
	for range 2000 {
		deviation := -0.3 * rng.Float64()
		c.AddFallback(0.85+0.2*deviation+0.05*rng.NormFloat64(), deviation, at(0))
	}
	line := c.Estimate(0.9).Fallback
	mean, sd := line.Sum(1, -0.15)
	is.True(math.Abs(mean-0.82) < 0.01)
	is.True(sd < 0.01)
	line = new(Fallbacks).line(0.9, 0.01, 0.2)
	mean, sd = line.Sum(1, 0)
	is.Equal(mean, 0.9) // the prior is the quality on all requests
	is.True(sd > 0.01)
}

// Rounding cells for the wire must not change estimates noticeably.
func TestRoundingKeepsTheEstimate(t *testing.T) {
	is := is.New(t)
	var c Cell
	for i := range 1000 {
		c.AddScore(float64(i%10)/10, at(time.Duration(i)*time.Second))
	}
	exact, roundedCell := c.Estimate(0.5), c.Rounded()
	rounded := roundedCell.Estimate(0.5)
	is.True(math.Abs(exact.Mean-rounded.Mean) < 1e-6)
	is.True(math.Abs(exact.SD-rounded.SD) < 1e-6)
}
