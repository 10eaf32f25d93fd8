package admission

import "time"

// bucket is a token bucket.
type bucket struct {
	tokens float64
	last   time.Duration
}

// fill adds what time has earned at the rate.
func (b *bucket) fill(now time.Duration, perSecond float64, burst time.Duration) {
	depth := max(1, perSecond*burst.Seconds())
	b.tokens = min(depth, b.tokens+perSecond*(now-b.last).Seconds())
	b.last = now
}

// take takes one token, or says how long one takes to come.
func (b *bucket) take(perSecond float64) (time.Duration, bool) {
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	if perSecond <= 0 {
		return mostRetryAfter, false
	}
	wait := (1 - b.tokens) / perSecond
	return min(time.Duration(wait*float64(time.Second))+1, mostRetryAfter), false
}
