package choice

import (
	"math"
	"time"
)

const (
	// downAfterFailures is the number of consecutive failures from which the rating
	// service counts as down.
	downAfterFailures = 3
	// ratingsPerSecond and ratingsBurst bound the sampled ratings of a node, so that the
	// load on the rating service grows with nodes and not with requests.
	ratingsPerSecond = 2.0
	ratingsBurst     = 10.0
	// probeInterval is the interval at which a rating is requested while the service is
	// down.
	probeInterval = 5 * time.Second
	// durationDecay is the factor of earlier values in a decaying mean.
	durationDecay = 0.95
)

// ratingService tracks whether the rating service is up, how long ratings take, and a
// token bucket of sampled ratings.
type ratingService struct {
	failures int
	// meanSeconds and meanSquares are decaying means of the duration of ratings and of
	// its square.
	meanSeconds float64
	meanSquares float64
	tokens      float64
	refilled    time.Time
	lastProbe   time.Time
}

func (r *ratingService) recordFailure() { r.failures++ }

func (r *ratingService) recordSuccess(took time.Duration) {
	r.failures = 0
	if took > 0 {
		r.meanSeconds = r.meanSeconds*durationDecay + took.Seconds()*(1-durationDecay)
		r.meanSquares = r.meanSquares*durationDecay + took.Seconds()*took.Seconds()*(1-durationDecay)
	}
}

// durationBound returns an upper bound on the duration of nearly all ratings.
func (r *ratingService) durationBound() time.Duration {
	variance := max(r.meanSquares-r.meanSeconds*r.meanSeconds, 0)
	seconds := r.meanSeconds + durationSDs*math.Sqrt(variance)
	return time.Duration(seconds * float64(time.Second))
}

func (r *ratingService) down() bool { return r.failures >= downAfterFailures }

// allowProbe reports whether a rating may be requested to check whether the service is
// back.
func (r *ratingService) allowProbe(now time.Time) bool {
	if now.Sub(r.lastProbe) < probeInterval {
		return false
	}
	r.lastProbe = now
	return true
}

// allow reports whether a sampled rating is within the limit, and counts it.
func (r *ratingService) allow(now time.Time) bool {
	if r.refilled.IsZero() {
		r.tokens = ratingsBurst
	} else if gap := now.Sub(r.refilled); gap > 0 {
		r.tokens = min(r.tokens+gap.Seconds()*ratingsPerSecond, ratingsBurst)
	}
	r.refilled = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
