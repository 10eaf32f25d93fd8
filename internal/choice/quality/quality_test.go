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

func drawSummaries(t *rapid.T) []Summary {
	books := make([]*Book, rapid.IntRange(1, 4).Draw(t, "runs"))
	for i := range books {
		books[i] = NewBook(Run{Node: string(rune('a' + i/2)), Epoch: uint64(i)})
	}
	var list []Summary
	for range rapid.IntRange(1, 20).Draw(t, "ratings") {
		b := books[rapid.IntRange(0, len(books)-1).Draw(t, "run")]
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

// Estimates differ from node to node, or count ratings twice, when summaries
// come in another order or again. Peers send them again after a lost answer,
// and a slow one overtakes a quick one. Only the latest of a run may count.
func TestMergeIgnoresOrderAndRepetition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		summaries := drawSummaries(t)
		inOrder, mixed := NewStore(), NewStore()
		for _, s := range summaries {
			inOrder.Merge(s)
		}
		for _, s := range append(rapid.Permutation(summaries).Draw(t, "order"), rapid.Permutation(summaries).Draw(t, "again")...) {
			mixed.Merge(s)
		}
		if total(inOrder) != total(mixed) {
			t.Fatalf("%+v\n%+v", total(inOrder), total(mixed))
		}
		if mixed.Merge(summaries[0]) {
			t.Fatal("an old summary was kept")
		}
	})
}

// Memory grows without end as nodes are replaced, or what a lost node had
// rated is lost with it. Its last summary stays until it has decayed.
func TestEndedRunsStayUntilDecayed(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	for i := range 2 * MaxRuns {
		b := NewBook(Run{Node: "n", Epoch: uint64(i)})
		for range 1 + i%2 {
			b.Cell(key).AddScore(0.5, at(0))
		}
		s.Merge(b.Summary(func(Key) bool { return true }))
	}
	is.Equal(s.Len(), MaxRuns)
	c := total(s)
	is.Equal(c.Long.Weight, float64(2*MaxRuns)) // the lighter ones went
	s.Forget(at(LongHalfLife))
	is.Equal(s.Len(), MaxRuns)
	s.Forget(at(4 * LongHalfLife))
	is.Equal(s.Len(), 0)
}

func TestEstimateFollowsAChange(t *testing.T) {
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
	is.True(math.Abs(e.Mean-0.7) < 0.02) // half an hour outweighs eight
	is.True(e.SD > 0.002)                // and less is certain
}

func TestCurveTellsNoiseFromSpread(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var honest, guessing Cell
	for range 2000 {
		answer := 0.6 + 0.15*rng.NormFloat64()
		rate := func() float64 { return answer + 0.075*rng.NormFloat64() }
		guess := func() float64 { return 0.6 + 0.17*rng.NormFloat64() }
		first := rate()
		honest.AddScore(first, at(0))
		honest.AddPair(first, rate(), at(0))
		first = guess()
		guessing.AddScore(first, at(0))
		guessing.AddPair(first, guess(), at(0))
	}
	curve := honest.Estimate(0.6).Curve
	is.True(math.Abs(curve.Slope-0.8) < 0.04) // 0.15^2 of 0.15^2 + 0.075^2
	is.True(math.Abs(curve.Bend) < 0.2)
	is.True(math.Abs(guessing.Estimate(0.6).Curve.Slope) < 0.06)
}

func TestRescueLineFindsHarderRequests(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var c Cell
	for range 2000 {
		short := -0.3 * rng.Float64()
		c.AddRescue(0.85+0.2*short+0.05*rng.NormFloat64(), short, at(0))
	}
	line := c.Estimate(0.9).Rescue
	mean, sd := line.Sum(1, -0.15)
	is.True(math.Abs(mean-0.82) < 0.01)
	is.True(sd < 0.01)
	line = new(Rescues).line(0.9, 0.01, 0.2)
	mean, sd = line.Sum(1, 0)
	is.Equal(mean, 0.9) // believed as good as on all requests
	is.True(sd > 0.01)
}

func TestRoundedSaysTheSame(t *testing.T) {
	is := is.New(t)
	var c Cell
	for i := range 1000 {
		c.AddScore(float64(i%10)/10, at(time.Duration(i)*time.Second))
	}
	exact, cut := c.Estimate(0.5), c.Rounded()
	rounded := cut.Estimate(0.5)
	is.True(math.Abs(exact.Mean-rounded.Mean) < 1e-6)
	is.True(math.Abs(exact.SD-rounded.SD) < 1e-6)
}
