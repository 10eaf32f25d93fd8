package admission

import "time"

// tokenBucket is a token bucket with one token per request.
type tokenBucket struct {
	tokens   float64
	filledAt time.Duration
}

// refill adds the tokens accrued since the last call. The bucket holds the tokens of
// burst at the rate, but at least one.
func (b *tokenBucket) refill(now time.Duration, perSecond float64, burst time.Duration) {
	depth := max(1, perSecond*burst.Seconds())
	b.tokens = min(depth, b.tokens+perSecond*(now-b.filledAt).Seconds())
	b.filledAt = now
}

// take takes one token, or returns the time until one is available.
func (b *tokenBucket) take(perSecond float64) (time.Duration, bool) {
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	if perSecond <= 0 {
		return maxRetryAfter, false
	}
	wait := (1 - b.tokens) / perSecond
	return min(time.Duration(wait*float64(time.Second))+1, maxRetryAfter), false
}
