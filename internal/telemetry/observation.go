package telemetry

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// Observation is what one finished request tells. Durations of 0 were not
// measured and are not observed.
type Observation struct {
	Outcome request.Outcome
	// Code is the failure's; empty when completed.
	Code request.Code
	// Version is the one that answered; empty for a plain service and for
	// what was not run.
	Version string
	// Queued is how long the request waited for admission.
	Queued time.Duration
	// FirstToken is from arrival to the first piece that went to the caller.
	FirstToken time.Duration
	// TokenGap is the mean time between two tokens.
	TokenGap time.Duration
	// Total is from arrival to the last byte.
	Total time.Duration
	// Cost is in micro-units of currency.
	Cost         int64
	InputTokens  int
	OutputTokens int
	CachedTokens int
}
