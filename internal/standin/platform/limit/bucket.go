package limit

import (
	"math"
	"time"
)

// BurstWindow is how much unused allowance a bucket saves up. A quarter of a
// second lets callers that batch several times a second reach the full rate,
// while a second never holds more than 1.25 times the rate.
const BurstWindow = 250 * time.Millisecond

// maxPeriod keeps the time between two calls within what a Duration can add up.
const maxPeriod = 365 * 24 * time.Hour

// Bucket is a token bucket, kept as the time at which it will be full again
// (the generic cell rate algorithm). Times are whole nanoseconds, so the wait
// that a refusal names is exact: a count of tokens in floating point can stand
// at 0.9999999 when a caller comes back at just the time it was told.
type Bucket struct {
	rate   float64
	period time.Duration
	full   time.Time
}

// NewBucket returns a full bucket of a rate a second; 0 means no limit.
func NewBucket(rate float64) *Bucket {
	return &Bucket{rate: rate, period: period(rate)}
}

// period rounds up, so that the rate is never exceeded.
func period(rate float64) time.Duration {
	if rate == 0 {
		return 0
	}
	ns := math.Ceil(float64(time.Second) / rate)
	return time.Duration(min(ns, float64(maxPeriod)))
}

// Rate returns the rate a second; 0 means no limit.
func (b *Bucket) Rate() float64 { return b.rate }

// SetRate changes the rate. What was taken at the old rate costs at most one
// period of the new one.
func (b *Bucket) SetRate(rate float64, now time.Time) {
	b.rate = rate
	b.period = period(rate)
	latest := now.Add(b.saved() + b.period)
	if b.full.After(latest) {
		b.full = latest
	}
}

// Take takes one token. Without one it returns false and how long to wait
// until there is one.
func (b *Bucket) Take(now time.Time) (time.Duration, bool) {
	if b.rate == 0 {
		return 0, true
	}
	if b.full.Before(now) {
		b.full = now
	}
	if wait := b.full.Sub(now) - b.saved(); wait > 0 {
		return wait, false
	}
	b.full = b.full.Add(b.period)
	return 0, true
}

// saved is the allowance saved up beside the one token that every bucket
// holds; a slow bucket saves none.
func (b *Bucket) saved() time.Duration {
	return max(0, BurstWindow-b.period)
}
