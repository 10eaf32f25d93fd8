package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// patternDuration is the simulated time of each pattern; its disturbance lasts from
	// peakStart to peakEnd.
	patternDuration = 24 * time.Second
	peakStart       = 8 * time.Second
	peakEnd         = 13 * time.Second
	// baseRate is the usual rate in requests per second.
	baseRate = 80.0
)

// loadPattern is a load that is hard to place.
type loadPattern struct {
	name string
	// symptom is the failure that users see without a good placement.
	symptom string
	rate    func(at time.Duration) float64
	draw    func(rnd *rand.Rand, at time.Duration) simRequest
	crashed int
	// maxWaitRatio is the maximum ratio of the 95th percentiles of the wait in the peak,
	// placement by work to each baseline.
	maxWaitRatio float64
}

// inPeak reports whether a time is within the disturbance.
func inPeak(at time.Duration) bool { return at >= peakStart && at < peakEnd }

func steady(time.Duration) float64 { return baseRate }

// peakTimes returns a rate that is multiplied by x in the peak.
func peakTimes(x float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if inPeak(at) {
			return x * baseRate
		}
		return baseRate
	}
}

// mixed draws short prompts and long ones that share blocks; a third are for the large
// model.
func mixed(rnd *rand.Rand, _ time.Duration) simRequest {
	d := simRequest{tokens: 400 + rnd.IntN(1500), weight: 0.1}
	if rnd.IntN(3) == 0 {
		d.weight = 1
	}
	if rnd.IntN(4) == 0 {
		d.tokens = 6000 + rnd.IntN(14000)
		d.block, d.blockTokens = fmt.Sprintf("p%d", rnd.IntN(60)), 5000
	}
	return d
}

var loadPatterns = []loadPattern{
	{name: "burst", symptom: "many users send requests at once, which queue behind long prompts although other upstreams are idle",
		rate: peakTimes(1.7), draw: mixed, maxWaitRatio: 0.8},
	{name: "hot key", symptom: "half of the requests share one block, whose upstream is overloaded",
		rate: steady, draw: func(rnd *rand.Rand, at time.Duration) simRequest {
			d := mixed(rnd, at)
			if inPeak(at) && rnd.IntN(2) == 0 {
				d.block, d.blockTokens, d.tokens = "hot", 5000, 7000
			}
			return d
		}, maxWaitRatio: 0.8},
	{name: "hot organisation", symptom: "one organisation sends six times its usual requests, all of them short",
		rate: peakTimes(1.5), draw: func(rnd *rand.Rand, at time.Duration) simRequest {
			if inPeak(at) && rnd.IntN(3) == 0 {
				return simRequest{tokens: 300, weight: 0.1}
			}
			return mixed(rnd, at)
		}, maxWaitRatio: 0.8},
	{name: "repeated prompts", symptom: "callers repeat the same long prompt within a short time",
		rate: peakTimes(1.6), draw: func(rnd *rand.Rand, at time.Duration) simRequest {
			d := mixed(rnd, at)
			if inPeak(at) && rnd.IntN(3) == 0 {
				d = simRequest{tokens: 12000, weight: 1, block: "again", blockTokens: 11000}
			}
			return d
		}, maxWaitRatio: 0.8},
	{name: "upstream crashes in the peak", symptom: "a quarter of the upstreams crash while load is high, and their requests are retried elsewhere",
		rate: peakTimes(1.3), draw: mixed, crashed: 4, maxWaitRatio: 0.85},
	{name: "shift to long prompts", symptom: "the mix shifts to long prompts",
		rate: steady, draw: func(rnd *rand.Rand, at time.Duration) simRequest {
			d := mixed(rnd, at)
			if inPeak(at) && rnd.IntN(3) == 0 {
				d.tokens, d.weight = 8000+rnd.IntN(8000), 1
			}
			return d
		}, maxWaitRatio: 0.85},
}

// Fails if requests queue in the peak although other upstreams are idle. For each
// pattern, placement by queued work must keep the 95th percentile of the wait below that
// of the baselines, drop nothing, and return to the usual wait a few seconds after the
// peak.
func TestPlacementByWorkUnderLoadPatterns(t *testing.T) {
	for _, p := range loadPatterns {
		t.Run(p.name, func(t *testing.T) {
			is := is.New(t)
			ours := simulatePattern(p, byWork)
			for name, other := range map[string]chooseFunc{"fewest own attempts": byOwnCount, "least reported load": byReportedLoad} {
				baseline := simulatePattern(p, other)
				ownPeak, baselinePeak := ours.peak, baseline.peak
				t.Logf("p95 of the wait in the peak %v, by %s %v; dropped requests %d and %d", ownPeak, name, baselinePeak, ours.dropped, baseline.dropped)
				if float64(ownPeak) > p.maxWaitRatio*float64(baselinePeak) {
					t.Errorf("%s: p95 of the wait in the peak is %v, against %v by %s", p.symptom, ownPeak, baselinePeak, name)
				}
			}
			is.Equal(ours.dropped, 0)
			is.True(ours.after <= 2*ours.before+200*time.Millisecond) // back to the usual wait
		})
	}
}

// patternResult is the mean result of a pattern's runs: the 95th percentiles of the wait
// before, in and after the peak, and the total of dropped requests.
type patternResult struct {
	before, peak, after time.Duration
	dropped             int
}

// seedCount is the number of seeds that each pattern runs with.
const seedCount = 5

func simulatePattern(p loadPattern, choose chooseFunc) patternResult {
	var result patternResult
	for seed := range uint64(seedCount) {
		s := newSimulation(seed, defaultCluster, choose)
		s.neverMove = true
		if p.crashed > 0 {
			s.crash(p.crashed, peakStart, peakEnd-peakStart)
		}
		s.run(patternDuration, p.rate, func(at time.Duration) simRequest { return p.draw(s.rnd, at) })
		const quantile = 0.95
		result.before += s.quantile(quantile, 3*time.Second, peakStart, nil) / seedCount
		result.peak += s.quantile(quantile, peakStart, peakEnd, nil) / seedCount
		result.after += s.quantile(quantile, peakEnd+4*time.Second, patternDuration-2*time.Second, nil) / seedCount
		result.dropped += s.dropped
	}
	return result
}
