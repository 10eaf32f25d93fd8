package fleet

import (
	"testing"
	"time"
)

// longPromptTokens is the length from which a prompt counts as long: its prefill takes over
// a second.
const longPromptTokens = 24000

// drawLongPrompts draws short prompts and, one in sixty, a very long one.
func drawLongPrompts(s *simulation) simRequest {
	if s.rnd.IntN(60) == 0 {
		return simRequest{tokens: longPromptTokens + s.rnd.IntN(longPromptTokens), weight: 1}
	}
	return simRequest{tokens: 300 + s.rnd.IntN(1500), weight: 1}
}

// promptWaits are the 95th percentiles of the waits of short and long prompts.
type promptWaits struct{ short, long time.Duration }

func simulateLongPrompts(useRanks, neverMove bool) promptWaits {
	const quantile, rate = 0.95, 70.0
	cluster := defaultCluster
	cluster.nodes, cluster.flightInterval = 48, 0 // no exchange of flights
	var waits promptWaits
	for seed := range uint64(seedCount) {
		s := newSimulation(seed, cluster, byWork)
		s.useRanks, s.neverMove = useRanks, neverMove
		s.run(patternDuration, func(time.Duration) float64 { return rate }, func(time.Duration) simRequest { return drawLongPrompts(s) })
		from, to := 3*time.Second, patternDuration-2*time.Second
		waits.short += s.quantile(quantile, from, to, func(d simRequest) bool { return d.tokens < longPromptTokens }) / seedCount
		waits.long += s.quantile(quantile, from, to, func(d simRequest) bool { return d.tokens >= longPromptTokens }) / seedCount
	}
	return waits
}

// Short requests do not wait for seconds behind a prompt with a prefill of two seconds,
// while most upstreams are idle. Many nodes send to the same upstreams. None learns of
// the long prompt in time, and during its prefill the upstream reports nothing and looks
// idle. Ranks put short work first in an upstream's queue, and attempts that wait far
// longer than expected are moved. Both are needed, and long prompts must not pay for
// them.
func TestLongPromptsDoNotDelayShortOnes(t *testing.T) {
	plain := simulateLongPrompts(false, true)
	ranked := simulateLongPrompts(true, true)
	moved := simulateLongPrompts(true, false)
	t.Logf("p95 of short and long prompts: in arrival order %v, by rank %v, by rank with moves %v", plain, ranked, moved)
	if float64(ranked.short) > 0.9*float64(plain.short) {
		t.Errorf("p95 of short prompts is %v with ranks, %v in arrival order", ranked.short, plain.short)
	}
	if float64(moved.short) > 0.75*float64(ranked.short) {
		t.Errorf("p95 of short prompts is %v with ranks and moves, %v with ranks", moved.short, ranked.short)
	}
	if float64(moved.long) > 1.25*float64(plain.long) {
		t.Errorf("p95 of long prompts is %v with ranks and moves, %v in arrival order", moved.long, plain.long)
	}
}

// Fails if attempts are moved only to queue again elsewhere. If all upstreams become slow
// at once, waits grow for all attempts, and none is far longer than the others.
func TestFewAttemptsMoveWhenAllUpstreamsAreSlow(t *testing.T) {
	moves, requests := 0, 0
	for seed := range uint64(seedCount) {
		s := newSimulation(seed, defaultCluster, byWork)
		s.useRanks = true
		s.run(patternDuration, peakTimes(2.2), func(time.Duration) simRequest {
			requests++
			return simRequest{tokens: 5000 + s.rnd.IntN(1000), weight: 1}
		})
		moves += s.moves
	}
	t.Logf("%d attempts moved, %d requests", moves, requests)
	if moves > requests/10 {
		t.Errorf("%d attempts moved for %d requests, want at most a tenth", moves, requests)
	}
}
