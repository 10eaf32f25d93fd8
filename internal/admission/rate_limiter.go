package admission

import "time"

// RateLimiter holds this node's shares of the organisations' limits. A share
// is a token bucket; shares are re-divided by periodic summaries to holders.
type RateLimiter struct {
	settings RateSettings
}

// RateSettings configure a [RateLimiter] and a [RateHolder].
type RateSettings struct {
	Self string
	// Period is the gap between two summaries (1 s).
	Period time.Duration
	// GrantFor is how long a share counts without renewal (5 s); after it the
	// node falls back to a conservative share.
	GrantFor time.Duration
	// BurstFor is the bucket's depth, as time at the share's rate (1 s).
	BurstFor time.Duration
}

// NewRateLimiter returns a limiter without limits.
func NewRateLimiter(s RateSettings) *RateLimiter { return &RateLimiter{settings: s} }

// SetLimits takes the limits in force: only organisations with a limit.
func (l *RateLimiter) SetLimits(limits []Limit, now time.Time) {}

// SetNodes takes the IDs of the live entry nodes, self among them.
func (l *RateLimiter) SetNodes(ids []string, now time.Time) {}

// Allow takes one request of the organisation from its bucket, or says when
// to come back.
func (l *RateLimiter) Allow(org string, now time.Time) (retryAfter time.Duration, ok bool) {
	return 0, true
}

// Summaries returns the messages due now, one for each holder; call it a few
// times a second. Each is answered by a [Grant].
func (l *RateLimiter) Summaries(now time.Time) []Summary { return nil }

// Granted takes a holder's answer.
func (l *RateLimiter) Granted(g Grant, now time.Time) {}
