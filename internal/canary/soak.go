package canary

import (
	"math"
	"time"
)

// Soak is the time from the shift of all sessions to the verdict. The requests of a plain service go
// to few of the version's upstreams then, so that each runs above the load that it will have.
//
// A completion cannot be undone: the old upstreams stop. Faults that show only under load have to
// show before it, and a burst after it brings more load than there is now. Engines get no more than
// the load of the moment: each request that they run slows down all others.
type Soak struct {
	// Age is the time since the shift.
	Age time.Duration
}

const (
	// soakLoadFactor is how many times the coming load an upstream gets in the soak, if its slots
	// allow it.
	soakLoadFactor = 4
	// maxSoakUse is the share of the slots that the soak may use.
	maxSoakUse = 0.5
	// soakSlice is how long the requests go to one part of the upstreams. All of the version's
	// upstreams take part in turn, as one of them may be slow.
	soakSlice = 400 * time.Millisecond
	// maxBatchWait bounds how long a request waits for others in the soak, and batchPart the part of
	// the route's latency goal that this wait may take.
	maxBatchWait = 75 * time.Millisecond
	batchPart    = 0.75
)

// Upstreams returns how many of a version's upstreams serve in the soak and the position of the
// first. use is the share of their slots that all of the service's requests would take.
func (s *Soak) Upstreams(ofVersion int, use float64) (count, first int) {
	factor := float64(soakLoadFactor)
	if use > 0 {
		factor = min(factor, max(maxSoakUse/use, 1))
	}
	count = max(int(math.Ceil(float64(ofVersion)/factor)), 1)
	return count, int(s.Age/soakSlice) * count
}

// BatchWait returns how long a request waits, so that all nodes send the requests
// of a short while together. Short requests seldom meet at an upstream otherwise, and a burst would
// be the first load that the version gets.
func (s *Soak) BatchWait(latencyGoal time.Duration) time.Duration {
	window := min(time.Duration(batchPart*float64(latencyGoal)), maxBatchWait)
	if window <= 0 {
		return 0
	}
	return window - s.Age%window
}
