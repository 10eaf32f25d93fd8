package balance

import (
	"errors"
	"time"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Result describes how an attempt ended.
type Result struct {
	Outcome Outcome
	// FirstToken is the time from the start of the attempt to the first piece of the
	// answer; 0 when none came.
	FirstToken time.Duration
	// Latency is the duration of the whole attempt.
	Latency time.Duration
	// Tokens is the number of pieces of the answer.
	Tokens int
}

// Outcome classifies an attempt's end by what it shows about the upstream.
type Outcome int

// The outcomes.
const (
	// Succeeded: the whole answer was received.
	Succeeded Outcome = iota
	// Unreached: no byte of the request can have reached the upstream.
	Unreached
	// Declined: the upstream answered that it did not run the request.
	Declined
	// MissingVersion: the engine has not loaded the version.
	MissingVersion
	// Broken: the answer broke off or never came.
	Broken
	// Abandoned: the caller disconnected; this shows nothing about the upstream.
	Abandoned
)

// OutcomeOf maps an error of package upstream to its outcome. A nil error is Succeeded,
// and an error of another kind is Abandoned.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return Succeeded
	}
	if errors.Is(err, upstream.ErrUnknownVersion) {
		return MissingVersion
	}
	var e *upstream.Error
	if !errors.As(err, &e) {
		return Abandoned
	}
	switch e.Reach {
	case upstream.NotSent:
		return Unreached
	case upstream.Declined:
		return Declined
	}
	return Broken
}
