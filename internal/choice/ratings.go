package choice

import (
	"math"
	"time"
)

const (
	// failuresToDown is how many failures in a row say that there is no
	// rating service.
	failuresToDown = 3
	// ratingsPerSecond and ratingsBurst bound the sampled ratings of a node,
	// so that the rating service's load grows with nodes, not with requests.
	ratingsPerSecond = 2.0
	ratingsBurst     = 10.0
	// probeGap is how often a rating is asked for while there is no service.
	probeGap = 5 * time.Second
	// durationMemory is the weight of what was before in a decaying mean.
	durationMemory = 0.95
)

// ratings knows whether there is a rating service and what may be asked of it.
type ratings struct {
	failures int
	// durations and squares are decaying means of how many seconds ratings
	// took, and of its square.
	durations float64
	squares   float64
	tokens    float64
	at        time.Time
	probed    time.Time
}

func (r *ratings) failed() { r.failures++ }

func (r *ratings) succeeded(took time.Duration) {
	r.failures = 0
	if took > 0 {
		r.durations = r.durations*durationMemory + took.Seconds()*(1-durationMemory)
		r.squares = r.squares*durationMemory + took.Seconds()*took.Seconds()*(1-durationMemory)
	}
}

// took is how long a rating takes at most, nearly always.
func (r *ratings) took() time.Duration {
	variance := max(r.squares-r.durations*r.durations, 0)
	seconds := r.durations + surely*math.Sqrt(variance)
	return time.Duration(seconds * float64(time.Second))
}

func (r *ratings) down() bool { return r.failures >= failuresToDown }

// probe says that a rating may be asked for to see whether the service is back.
func (r *ratings) probe(now time.Time) bool {
	if now.Sub(r.probed) < probeGap {
		return false
	}
	r.probed = now
	return true
}

// take says that a sampled rating is within the bound, and counts it.
func (r *ratings) take(now time.Time) bool {
	if r.at.IsZero() {
		r.tokens = ratingsBurst
	} else if gap := now.Sub(r.at); gap > 0 {
		r.tokens = min(r.tokens+gap.Seconds()*ratingsPerSecond, ratingsBurst)
	}
	r.at = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
