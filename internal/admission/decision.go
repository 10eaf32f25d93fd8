package admission

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// Verdict is the outcome of admission for a request.
type Verdict int

// The verdicts.
const (
	// Run: start the request now. It counts as running until Finish or Cancel.
	Run Verdict = iota
	// Queued: the request waits for a Decision from Next.
	Queued
	// Refused: the request has not run and will not run.
	Refused
)

// Decision is the verdict on one request.
type Decision struct {
	ID      string
	Verdict Verdict
	// Code and RetryAfter are set when Verdict is Refused. RetryAfter is 0 for a
	// duplicate ID.
	Code       request.Code
	RetryAfter time.Duration
}
