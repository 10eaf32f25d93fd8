package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// patternLength is how long each pattern is played, peakFrom to peakTo the
	// span of its trouble.
	patternLength = 24 * time.Second
	peakFrom      = 8 * time.Second
	peakTo        = 13 * time.Second
	// calmRate is the usual number of requests a second.
	calmRate = 80.0
)

// pattern is one way in which load is at its worst.
type pattern struct {
	name string
	// story is what a user sees without the guard.
	story string
	rate  func(at time.Duration) float64
	draw  func(rnd *rand.Rand, at time.Duration) demand
	crash int
	// gain is the part of the other ways' wait, for 95 in 100 of the requests
	// of the peak, that ours must stay within.
	gain float64
}

func inPeak(at time.Duration) bool { return at >= peakFrom && at < peakTo }

func steady(time.Duration) float64 { return calmRate }

func times(x float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if inPeak(at) {
			return x * calmRate
		}
		return calmRate
	}
}

// mixed draws short prompts and long ones that share parts, a third of them
// for the large model.
func mixed(rnd *rand.Rand, _ time.Duration) demand {
	d := demand{tokens: 400 + rnd.IntN(1500), weight: 0.1}
	if rnd.IntN(3) == 0 {
		d.weight = 1
	}
	if rnd.IntN(4) == 0 {
		d.tokens = 6000 + rnd.IntN(14000)
		d.part, d.shared = fmt.Sprintf("p%d", rnd.IntN(60)), 5000
	}
	return d
}

var patterns = []pattern{
	{name: "burst", story: "many users come at once: requests queue behind long prompts although other upstreams are idle",
		rate: times(1.7), draw: mixed, gain: 0.8},
	{name: "hot key", story: "half of the requests are about one thing: its upstream would be buried",
		rate: steady, draw: func(rnd *rand.Rand, at time.Duration) demand {
			d := mixed(rnd, at)
			if inPeak(at) && rnd.IntN(2) == 0 {
				d.part, d.shared, d.tokens = "hot", 5000, 7000
			}
			return d
		}, gain: 0.8},
	{name: "hot organisation", story: "one organisation sends six times its usual, all of it short",
		rate: times(1.5), draw: func(rnd *rand.Rand, at time.Duration) demand {
			if inPeak(at) && rnd.IntN(3) == 0 {
				return demand{tokens: 300, weight: 0.1}
			}
			return mixed(rnd, at)
		}, gain: 0.8},
	{name: "callers repeat at once", story: "callers send the same long prompt again and again within a moment",
		rate: times(1.6), draw: func(rnd *rand.Rand, at time.Duration) demand {
			d := mixed(rnd, at)
			if inPeak(at) && rnd.IntN(3) == 0 {
				d = demand{tokens: 12000, weight: 1, part: "again", shared: 11000}
			}
			return d
		}, gain: 0.8},
	{name: "upstreams lost at the peak", story: "a quarter of the upstreams crashes while load is high; their work comes again elsewhere",
		rate: times(1.3), draw: mixed, crash: 4, gain: 0.85},
	{name: "prompts against answers", story: "the mix shifts to long prompts",
		rate: steady, draw: func(rnd *rand.Rand, at time.Duration) demand {
			d := mixed(rnd, at)
			if inPeak(at) && rnd.IntN(3) == 0 {
				d.tokens, d.weight = 8000+rnd.IntN(8000), 1
			}
			return d
		}, gain: 0.85},
}

// For each pattern: placing by the work that waits keeps the wait of 95 in 100
// requests of the peak below that of the other ways, loses nothing, and is back
// to the usual wait a few seconds after.
func TestPlacementWhenLoadIsAtItsWorst(t *testing.T) {
	for _, p := range patterns {
		t.Run(p.name, func(t *testing.T) {
			is := is.New(t)
			ours := play(p, byWork)
			for name, other := range map[string]chooser{"fewest own attempts": byOwnCount, "least reported load": byLoadOfAll} {
				theirs := play(p, other)
				got, than := ours.peak, theirs.peak
				t.Logf("p95 of the peak %v, by %s %v; lost %d and %d", got, name, than, ours.lost, theirs.lost)
				if float64(got) > p.gain*float64(than) {
					t.Errorf("%s: %v against %v by %s", p.story, got, than, name)
				}
			}
			is.Equal(ours.lost, 0)
			is.True(ours.later <= 2*ours.before+200*time.Millisecond) // back to the usual
		})
	}
}

// outcome sums a pattern's plays.
type outcome struct {
	before, peak, later time.Duration
	lost                int
}

// plays is how many seeds of a pattern are played; figures are means.
const plays = 5

func play(p pattern, choose chooser) outcome {
	var o outcome
	for seed := range uint64(plays) {
		r := newReplay(seed, usualSite, choose)
		r.patient = true
		if p.crash > 0 {
			r.crash(p.crash, peakFrom, peakTo-peakFrom)
		}
		r.arrivals(patternLength, p.rate, func(at time.Duration) demand { return p.draw(r.rnd, at) })
		const share = 0.95
		o.before += r.quantile(share, 3*time.Second, peakFrom, nil) / plays
		o.peak += r.quantile(share, peakFrom, peakTo, nil) / plays
		o.later += r.quantile(share, peakTo+4*time.Second, patternLength-2*time.Second, nil) / plays
		o.lost += r.lost
	}
	return o
}
