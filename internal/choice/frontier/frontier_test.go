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

// expectedMix returns the mean cost and quality of what At returns. At returns one
// strategy below some draw and another above it, and bisection finds that draw. A mean
// over 2,000 draws would give the shares only to 0.00025, which is a cost error of 0.0037
// between strategies of cost 1 and 15.9.
func expectedMix(f *Frontier, target float64) (cost, quality float64) {
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

// checkTwoPoints checks that At returns only the strategies for the lowest and the
// highest draw, and switches between them once.
func checkTwoPoints(t *rapid.T, f *Frontier, target float64) {
	const draws = 2000
	low, high := f.At(target, 0), f.At(target, math.Nextafter(1, 0))
	switched := false
	for i := range draws {
		p := f.At(target, (float64(i)+0.5)/draws)
		switched = switched || p != low
		if p != low && p != high || switched && p != high {
			t.Fatalf("draw %d gives %v, between %v and %v", i, p, low, high)
		}
	}
}

// The mean cost of a mix must be exact, also where one part in two hundred of it costs
// sixteen times as much as the rest.
func TestMixOfTwoDistantPoints(t *testing.T) {
	is := is.New(t)
	f := &Frontier{points: []Point{{First: "b", Cost: 1, Quality: 0.0356}, {First: "a", Cost: 15.875, Quality: 0.6878}}}
	const share = 0.00528
	cost, quality := expectedMix(f, 0.0356+share*(0.6878-0.0356))
	is.True(math.Abs(cost-(1+share*14.875)) < 1e-9)
	is.True(math.Abs(quality-(0.0356+share*0.6522)) < 1e-9)
}

// If the mix is wrong, an organisation gets less than its target or pays more than it
// must. The mix must reach every target that any strategy reaches, and no mix of two
// strategies may do so at a lower cost.
func TestMixReachesTargetAtLowestCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := drawOptions(t)
		b := Builder{Confidence: 1}
		f := b.Build(options, rapid.Bool().Draw(t, "cascades"))
		target := rapid.Float64Range(0, 1).Draw(t, "target")
		checkTwoPoints(t, f, target)
		cost, got := expectedMix(f, target)
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

// Along the frontier, cost and quality must increase and the gain in quality per cost
// must fall.
func TestCornersHaveFallingSlope(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Builder{Confidence: 1}
		points := b.Build(drawOptions(t), true).Points()
		slope := math.Inf(1)
		for i := 1; i < len(points); i++ {
			extraCost, extraQuality := points[i].Cost-points[i-1].Cost, points[i].Quality-points[i-1].Quality
			if !(extraCost > 0 && extraQuality > 0) || extraQuality/extraCost > slope*(1+1e-9) {
				t.Fatalf("corner %d: %+v", i, points)
			}
			slope = extraQuality / extraCost
		}
	})
}

// ratedOption is a version whose answers vary in quality, as rated by a rater with noise.
func ratedOption(name string, cost, mean, noise float64) Option {
	var c quality.Cell
	for i := range 4000 {
		spread := (float64(i%101)/50 - 1) * 0.2
		first := noise * math.Sin(float64(i))
		second := noise * math.Sin(float64(i)*1.7+1)
		c.AddScore(mean+spread+first, int64(time.Hour))
		c.AddPair(mean+spread+first, mean+spread+second, int64(time.Hour))
		c.AddFallback(mean, -0.1, int64(time.Hour))
	}
	return Option{Version: name, Cost: cost, Estimate: c.Estimate(mean)}
}

// A cascade pays when the rater distinguishes good from bad answers. With a rater that
// guesses it pays for two answers without benefit, so there must be none.
func TestCascadeRequiresInformativeRater(t *testing.T) {
	is := is.New(t)
	b := Builder{Confidence: 1}
	expensive := ratedOption("dear", 40, 0.78, 0.01)
	informative := b.Build([]Option{ratedOption("cheap", 10, 0.7, 0.02), expensive}, true)
	p := informative.At(0.76, 0.5)
	is.Equal(p.First, "cheap")
	is.Equal(len(p.Then), 1)

	guessing := ratedOption("cheap", 10, 0.7, 0.02)
	guessing.Estimate.Curve.Slope = 0
	guessing.Estimate.Curve.Bend = 0
	for _, p := range b.Build([]Option{guessing, expensive}, true).Points() {
		is.Equal(len(p.Then), 0)
	}
}

// Without answers rated twice, the rater's noise is unknown and no cascade may be used.
func TestNoCascadeWithoutRepeatedRatings(t *testing.T) {
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
