package admission

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// Verdict is what becomes of a request.
type Verdict int

// The verdicts.
const (
	// Run: start it now; it counts as running until Finish.
	Run Verdict = iota
	// Queued: wait for a Decision of Next.
	Queued
	// Refused: it was not run and will not be.
	Refused
)

// Decision is the verdict on one request.
type Decision struct {
	ID      string
	Verdict Verdict
	// Code and RetryAfter are set when Refused.
	Code       request.Code
	RetryAfter time.Duration
}
