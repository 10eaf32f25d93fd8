package telemetry

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// Observation holds the measurements of one finished request. Durations of 0 were
// not measured and are not observed.
type Observation struct {
	// Outcome is how the request ended.
	Outcome request.Outcome
	// Code is the failure code; empty for a completed request.
	Code request.Code
	// Version is the model version that answered; empty for a service without
	// model engines and for a request that was not run.
	Version string
	// Queued is how long the request waited for admission.
	Queued time.Duration
	// FirstToken is the time from arrival to the first part of the response sent to
	// the caller.
	FirstToken time.Duration
	// TokenGap is the mean time between two tokens.
	TokenGap time.Duration
	// Total is the time from arrival to the last byte of the response.
	Total time.Duration
	// Cost is in micro-units of currency.
	Cost         int64
	InputTokens  int
	OutputTokens int
	// CachedTokens is how many input tokens the upstream had cached.
	CachedTokens int
}
