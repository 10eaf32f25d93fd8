package limit

import "time"

// BurstWindow is how much unused allowance a bucket saves up. A quarter of a
// second lets callers that batch several times a second reach the full rate,
// while a second never holds more than 1.25 times the rate.
const BurstWindow = 250 * time.Millisecond

// Bucket is a token bucket.
type Bucket struct {
	rate   float64
	tokens float64
	last   time.Time
}

// NewBucket returns a full bucket of a rate a second; 0 means no limit.
func NewBucket(rate float64) *Bucket {
	b := &Bucket{rate: rate}
	b.tokens = b.burst()
	return b
}

// Rate returns the rate a second; 0 means no limit.
func (b *Bucket) Rate() float64 { return b.rate }

// SetRate changes the rate.
func (b *Bucket) SetRate(rate float64, now time.Time) {
	b.fill(now)
	unlimited := b.rate == 0
	b.rate = rate
	if unlimited || b.tokens > b.burst() {
		b.tokens = b.burst()
	}
}

// Take takes one token. Without one it returns false and how long to wait
// until there is one.
func (b *Bucket) Take(now time.Time) (time.Duration, bool) {
	if b.rate == 0 {
		return 0, true
	}
	b.fill(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	missing := (1 - b.tokens) / b.rate
	return time.Duration(missing*float64(time.Second)) + 1, false
}

func (b *Bucket) fill(now time.Time) {
	if !now.After(b.last) {
		return
	}
	passed := now.Sub(b.last).Seconds()
	b.tokens = min(b.burst(), b.tokens+passed*b.rate)
	b.last = now
}

// burst is at least one token, or a slow bucket could never give any.
func (b *Bucket) burst() float64 {
	return max(1, b.rate*BurstWindow.Seconds())
}
