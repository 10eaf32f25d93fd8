package hedge

import "time"

// Quantile is a running 95th percentile of a service's response times.
//
// Attempts that were left count with the time they waited: when all upstreams are slow, the
// quantile follows, and attempts are no longer left.
type Quantile struct {
	seconds float64
	count   int
}

const (
	quantileShare = 0.95
	// quantileStep is the relative change by one response above the quantile.
	quantileStep = 0.15
	// minResponses is the number of responses from which the quantile is known.
	minResponses = 8
	// silentFactor is the time after which an attempt counts as silent, as a multiple of the
	// quantile.
	silentFactor = 2.0
	// minSilence is the shortest such time: shorter pauses are within those of the network.
	minSilence = 10 * time.Millisecond
)

// Observe adds a response time, or the time that an attempt waited in vain.
func (q *Quantile) Observe(took time.Duration) {
	sample := took.Seconds()
	if sample <= 0 {
		return
	}
	q.count++
	switch {
	case q.seconds == 0 || q.count <= minResponses && sample > q.seconds:
		q.seconds = sample
	case sample > q.seconds:
		q.seconds = min(q.seconds*(1+quantileStep*quantileShare), sample)
	default:
		q.seconds = max(q.seconds*(1-quantileStep*(1-quantileShare)), sample)
	}
}

// Value returns the quantile; ok is false while too few responses were observed.
func (q *Quantile) Value() (d time.Duration, ok bool) {
	if q == nil || q.count < minResponses {
		return 0, false
	}
	return time.Duration(q.seconds * float64(time.Second)), true
}

// SilentAfter returns how long an attempt waits before it counts as silent, at most half of
// the caller's time left, so that another attempt has as much. ok is false while too few
// responses were observed.
func (q *Quantile) SilentAfter(left time.Duration) (after time.Duration, ok bool) {
	if q == nil || q.count < minResponses || left <= 0 {
		return 0, false
	}
	usual := time.Duration(silentFactor * q.seconds * float64(time.Second))
	return min(max(usual, minSilence), left/2), true
}
