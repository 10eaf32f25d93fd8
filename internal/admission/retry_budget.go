package admission

import "time"

// RetryBudget limits retries to a fraction of the first attempts.
//
// Unlimited retries multiply an overload: each failure causes a new attempt, which fails
// too, and the load stays high after its cause has gone. With the budget, attempts are at
// most about 1 + Ratio times the first attempts.
type RetryBudget struct {
	settings   RetrySettings
	tokens     float64
	refilledAt time.Time
}

// RetrySettings configures a [RetryBudget]. Zero values take the defaults named here.
type RetrySettings struct {
	// Ratio is how many retries each first attempt allows (0.1).
	Ratio float64
	// Burst bounds the accumulated retries (10).
	Burst float64
	// PerSecond is how many retries per second are allowed without any first attempt, so
	// that a node with little traffic can retry at all (0.1).
	PerSecond float64
}

const (
	defaultRetryRatio     = 0.1
	defaultRetryBurst     = 10
	defaultRetryPerSecond = 0.1
)

// NewRetryBudget returns a full budget.
func NewRetryBudget(s RetrySettings) *RetryBudget {
	defaultFloat(&s.Ratio, defaultRetryRatio)
	defaultFloat(&s.Burst, defaultRetryBurst)
	defaultFloat(&s.PerSecond, defaultRetryPerSecond)
	return &RetryBudget{settings: s, tokens: s.Burst}
}

// CountFirst counts a first attempt, which adds Ratio retries to the budget.
func (b *RetryBudget) CountFirst(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+b.settings.Ratio, b.settings.Burst)
}

// Allow takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) Allow(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *RetryBudget) refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.tokens = min(b.tokens+b.settings.PerSecond*now.Sub(b.refilledAt).Seconds(), b.settings.Burst)
	}
	b.refilledAt = now
}
