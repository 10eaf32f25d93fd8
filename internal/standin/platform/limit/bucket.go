package limit

import (
	"math"
	"time"
)

// BurstWindow is how much unused allowance a bucket accumulates. With 250 ms, callers
// that batch several times a second reach the full rate, and no second admits more
// than 1.25 times the rate.
const BurstWindow = 250 * time.Millisecond

// maxPeriod bounds the time between two calls, so that sums of periods do not
// overflow a Duration.
const maxPeriod = 365 * 24 * time.Hour

// Bucket is a token bucket. It stores the time at which it is full again (generic
// cell rate algorithm). Times are whole nanoseconds, so the wait that Take returns is
// exact: a floating-point token count can be 0.9999999 when a caller retries at
// exactly that time. A Bucket is not safe for concurrent use.
type Bucket struct {
	// rate is in calls per second; 0 means no limit.
	rate float64
	// period is the time between two calls at the rate.
	period time.Duration
	fullAt time.Time
}

// NewBucket returns a full bucket with a rate in calls per second; 0 means no limit.
func NewBucket(rate float64) *Bucket {
	return &Bucket{rate: rate, period: period(rate)}
}

// period returns the time between two calls at a rate. It rounds up, so that the rate
// is never exceeded.
func period(rate float64) time.Duration {
	if rate == 0 {
		return 0
	}
	ns := math.Ceil(float64(time.Second) / rate)
	return time.Duration(min(ns, float64(maxPeriod)))
}

// Rate returns the rate in calls per second; 0 means no limit.
func (b *Bucket) Rate() float64 { return b.rate }

// SetRate changes the rate. Tokens taken at the old rate delay the next call by at
// most one period of the new rate.
func (b *Bucket) SetRate(rate float64, now time.Time) {
	b.rate = rate
	b.period = period(rate)
	latest := now.Add(b.burstAllowance() + b.period)
	if b.fullAt.After(latest) {
		b.fullAt = latest
	}
}

// Take takes one token and reports true. Without a token it returns false and the
// time until one is available.
func (b *Bucket) Take(now time.Time) (time.Duration, bool) {
	if b.rate == 0 {
		return 0, true
	}
	if b.fullAt.Before(now) {
		b.fullAt = now
	}
	if wait := b.fullAt.Sub(now) - b.burstAllowance(); wait > 0 {
		return wait, false
	}
	b.fullAt = b.fullAt.Add(b.period)
	return 0, true
}

// burstAllowance returns the allowance that a bucket accumulates beyond one token. It
// is 0 for a bucket whose period is [BurstWindow] or longer.
func (b *Bucket) burstAllowance() time.Duration {
	return max(0, BurstWindow-b.period)
}
