package fleet

import (
	"testing"
	"time"
)

// smallBatches is many nodes before upstreams with few slots that stop a running answer for
// a more urgent request.
var smallBatches = site{nodes: 12, upstreams: 30, slots: 12, readRate: 22000, flights: 200 * time.Millisecond, preempts: true, answerTime: 4 * time.Second}

// smallBatchRate is how many requests a second fill nearly all slots.
const smallBatchRate = 85

// TestFullBatchesAreNotPreempted guards against ranks that stop running answers once batches
// are full: requests of all sizes come at nearly what the slots bear, each short prompt takes
// the slot of a long one, and that is read again and pauses.
func TestFullBatchesAreNotPreempted(t *testing.T) {
	share := func(always bool) (stopped float64, waited time.Duration) {
		preempted, requests := 0, 0
		for seed := range uint64(plays) {
			r := newReplay(seed, smallBatches, byWork)
			r.ranked, r.patient, r.alwaysRanked = true, true, always
			r.arrivals(patternLength, func(time.Duration) float64 { return smallBatchRate }, func(time.Duration) demand {
				requests++
				if r.rnd.IntN(5) == 0 {
					return demand{tokens: 8000 + r.rnd.IntN(8000), weight: 1}
				}
				return demand{tokens: 500 + r.rnd.IntN(1000), weight: 0.5}
			})
			preempted += r.preempted
			waited = max(waited, r.quantile(0.95, 0, patternLength, nil))
		}
		return float64(preempted) / float64(requests), waited
	}
	always, alwaysWait := share(true)
	room, roomWait := share(false)
	t.Logf("stopped: %.3f of the answers with ranks at all loads, %.3f with ranks where there is room; p95 of the wait %v and %v", always, room, alwaysWait, roomWait)
	if room > 0.02 {
		t.Errorf("%.3f of the answers were stopped", room)
	}
}
