package frontier

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

func drawOptions(t *rapid.T) []Option {
	options := make([]Option, rapid.IntRange(1, 8).Draw(t, "options"))
	for i := range options {
		var c quality.Cell
		for range rapid.IntRange(0, 30).Draw(t, "ratings") {
			score := rapid.Float64Range(0, 1).Draw(t, "score")
			c.AddScore(score, int64(time.Hour))
			c.AddPair(score, min(max(score+rapid.Float64Range(-0.1, 0.1).Draw(t, "noise"), 0), 1), int64(time.Hour))
		}
		options[i] = Option{
			Version:  string(rune('a' + i)),
			Cost:     rapid.Float64Range(1, 100).Draw(t, "cost"),
			Estimate: c.Estimate(rapid.Float64Range(0.1, 0.95).Draw(t, "prior")),
		}
	}
	return options
}

// mix returns the cost and quality of what At gives on average. At gives one way below
// some draw and another above it, which is looked for by halving: a mean over 2,000
// draws knows the share of each to a quarter of a thousandth only, which is 0.0037 of
// cost between ways that cost 1 and 15.9.
func mix(f *Frontier, target float64) (cost, quality float64) {
	low, high := f.At(target, 0), f.At(target, math.Nextafter(1, 0))
	from, to := 0.0, 1.0
	for range 60 {
		if middle := (from + to) / 2; f.At(target, middle) == low {
			from = middle
		} else {
			to = middle
		}
	}
	if low == high {
		from = 1
	}
	return from*low.Cost + (1-from)*high.Cost, from*low.Quality + (1-from)*high.Quality
}

// onlyTwoWays checks that At gives no other way than those at both ends, and each on its
// side of one draw.
func onlyTwoWays(t *rapid.T, f *Frontier, target float64) {
	const draws = 2000
	low, high := f.At(target, 0), f.At(target, math.Nextafter(1, 0))
	passed := false
	for i := range draws {
		p := f.At(target, (float64(i)+0.5)/draws)
		passed = passed || p != low
		if p != low && p != high || passed && p != high {
			t.Fatalf("draw %d gives %v, between %v and %v", i, p, low, high)
		}
	}
}

// A mix of a way that costs 1 and one that costs 15.875, with one part in two hundred of
// the latter: it costs what the two parts cost.
func TestMixOfTwoWaysFarApart(t *testing.T) {
	is := is.New(t)
	f := &Frontier{points: []Point{{First: "b", Cost: 1, Quality: 0.0356}, {First: "a", Cost: 15.875, Quality: 0.6878}}}
	const share = 0.00528
	cost, quality := mix(f, 0.0356+share*(0.6878-0.0356))
	is.True(math.Abs(cost-(1+share*14.875)) < 1e-9)
	is.True(math.Abs(quality-(0.0356+share*0.6522)) < 1e-9)
}

// An organisation gets less than its target, or pays more than it must, when
// the mix is wrong. Whatever the options are, the mix must reach each target
// that anything reaches, and no mix of two ways may do so for less.
func TestMixReachesTargetAtLowestCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := drawOptions(t)
		b := Builder{Confidence: 1}
		f := b.Build(options, rapid.Bool().Draw(t, "cascades"))
		target := rapid.Float64Range(0, 1).Draw(t, "target")
		onlyTwoWays(t, f, target)
		cost, got := mix(f, target)
		if got < min(target, f.Best().Quality)-1e-3 {
			t.Fatalf("reaches %v of %v", got, target)
		}
		if target > f.Best().Quality {
			return
		}
		for _, p := range b.points {
			for _, q := range b.points {
				if p.Quality <= target && q.Quality > target {
					share := (target - p.Quality) / (q.Quality - p.Quality)
					other := p.Cost + share*(q.Cost-p.Cost)
					if other < cost*(1-2e-3)-1e-3 {
						t.Fatalf("costs %v, but %v and %v cost %v", cost, p, q, other)
					}
				}
			}
		}
	})
}

func TestCornersRiseEverMoreDearly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Builder{Confidence: 1}
		points := b.Build(drawOptions(t), true).Points()
		slope := math.Inf(1)
		for i := 1; i < len(points); i++ {
			dearer, better := points[i].Cost-points[i-1].Cost, points[i].Quality-points[i-1].Quality
			if !(dearer > 0 && better > 0) || better/dearer > slope*(1+1e-9) {
				t.Fatalf("corner %d: %+v", i, points)
			}
			slope = better / dearer
		}
	})
}

// learnt is a version whose answers spread, as rated by a rater with noise.
func learnt(name string, cost, mean, noise float64) Option {
	var c quality.Cell
	for i := range 4000 {
		spread := (float64(i%101)/50 - 1) * 0.2
		first := noise * math.Sin(float64(i))
		second := noise * math.Sin(float64(i)*1.7+1)
		c.AddScore(mean+spread+first, int64(time.Hour))
		c.AddPair(mean+spread+first, mean+spread+second, int64(time.Hour))
		c.AddRescue(mean, -0.1, int64(time.Hour))
	}
	return Option{Version: name, Cost: cost, Estimate: c.Estimate(mean)}
}

// A cascade pays when the rater knows good answers from bad ones, and costs two
// answers for nothing when it guesses.
func TestCascadePaysOnlyWithAGoodRater(t *testing.T) {
	is := is.New(t)
	b := Builder{Confidence: 1}
	dear := learnt("dear", 40, 0.78, 0.01)
	sharp := b.Build([]Option{learnt("cheap", 10, 0.7, 0.02), dear}, true)
	p := sharp.At(0.76, 0.5)
	is.Equal(p.First, "cheap")
	is.Equal(len(p.Then), 1)

	guessing := learnt("cheap", 10, 0.7, 0.02)
	guessing.Estimate.Curve.Slope = 0
	guessing.Estimate.Curve.Bend = 0
	for _, p := range b.Build([]Option{guessing, dear}, true).Points() {
		is.Equal(len(p.Then), 0)
	}
}

func TestNoCascadeBeforePairsAreIn(t *testing.T) {
	is := is.New(t)
	var c quality.Cell
	b := Builder{Confidence: 1}
	options := []Option{{Version: "cheap", Cost: 1, Estimate: c.Estimate(0.8)}, {Version: "dear", Cost: 4, Estimate: c.Estimate(0.9)}}
	f := b.Build(options, true)
	for _, p := range f.Points() {
		is.Equal(len(p.Then), 0)
	}
	is.Equal(f.Best().First, "dear")
}
