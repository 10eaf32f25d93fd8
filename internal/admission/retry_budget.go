package admission

import "time"

// RetryBudget allows retries as a share of first attempts.
//
// It guards against retries that multiply an overload: each failure then
// causes a new attempt, which fails too, and the load stays up after its
// cause has gone. It shows as attempts far above first attempts. With the
// budget they are at most 1 + Ratio times those.
type RetryBudget struct {
	settings RetrySettings
	saved    float64
	last     time.Time
}

// RetrySettings configure a [RetryBudget]. Zero values take the defaults named
// here.
type RetrySettings struct {
	// Ratio is how many retries each first attempt earns (0.1).
	Ratio float64
	// Burst bounds the retries saved up (10).
	Burst float64
	// PerSecond is earned without any first attempt, so that a quiet node may
	// retry at all (0.1).
	PerSecond float64
}

const (
	defaultRetryRatio     = 0.1
	defaultRetryBurst     = 10
	defaultRetryPerSecond = 0.1
)

// NewRetryBudget returns a full budget.
func NewRetryBudget(s RetrySettings) *RetryBudget {
	orFloat(&s.Ratio, defaultRetryRatio)
	orFloat(&s.Burst, defaultRetryBurst)
	orFloat(&s.PerSecond, defaultRetryPerSecond)
	return &RetryBudget{settings: s, saved: s.Burst}
}

// First counts a first attempt.
func (b *RetryBudget) First(now time.Time) {
	b.earn(now)
	b.saved = min(b.saved+b.settings.Ratio, b.settings.Burst)
}

// Allow takes one retry from the budget, or says that there is none.
func (b *RetryBudget) Allow(now time.Time) bool {
	b.earn(now)
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

func (b *RetryBudget) earn(now time.Time) {
	if !b.last.IsZero() && now.After(b.last) {
		b.saved = min(b.saved+b.settings.PerSecond*now.Sub(b.last).Seconds(), b.settings.Burst)
	}
	b.last = now
}
