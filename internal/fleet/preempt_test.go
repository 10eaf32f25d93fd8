package fleet

import (
	"testing"
	"time"
)

// smallBatches is a cluster whose upstreams have few slots and preempt a running response
// for a more urgent request.
var smallBatches = simCluster{nodes: 12, upstreams: 30, slots: 12, prefillRate: 22000, flightInterval: 200 * time.Millisecond, preempts: true, responseTime: 4 * time.Second}

// smallBatchRate is the rate in requests per second that fills nearly all slots.
const smallBatchRate = 85

// Fails if ranks preempt running responses once batches are full. At a load near the
// capacity, each short prompt takes the slot of a long one, whose prefill is repeated and
// whose response pauses.
func TestRanksDoNotPreemptInFullBatches(t *testing.T) {
	simulate := func(ranksWhenFull bool) (preemptedShare float64, p95Wait time.Duration) {
		preempted, requests := 0, 0
		for seed := range uint64(seedCount) {
			s := newSimulation(seed, smallBatches, byWork)
			s.useRanks, s.neverMove, s.ranksWhenFull = true, true, ranksWhenFull
			s.run(patternDuration, func(time.Duration) float64 { return smallBatchRate }, func(time.Duration) simRequest {
				requests++
				if s.rnd.IntN(5) == 0 {
					return simRequest{tokens: 8000 + s.rnd.IntN(8000), weight: 1}
				}
				return simRequest{tokens: 500 + s.rnd.IntN(1000), weight: 0.5}
			})
			preempted += s.preempted
			p95Wait = max(p95Wait, s.quantile(0.95, 0, patternDuration, nil))
		}
		return float64(preempted) / float64(requests), p95Wait
	}
	atAllLoads, atAllLoadsWait := simulate(true)
	withRoom, withRoomWait := simulate(false)
	t.Logf("preempted responses: %.3f with ranks at all loads, %.3f with ranks only below rankedLoad; p95 of the wait %v and %v", atAllLoads, withRoom, atAllLoadsWait, withRoomWait)
	if withRoom > 0.02 {
		t.Errorf("%.3f of the responses were preempted, the maximum is 0.02", withRoom)
	}
}
