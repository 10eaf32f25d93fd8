package balance

import (
	"errors"
	"time"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Result is how an attempt ended.
type Result struct {
	Outcome Outcome
	// FirstToken is the time from the start of the attempt to its first piece;
	// 0 when there was none.
	FirstToken time.Duration
	// Latency is the time of the whole attempt.
	Latency time.Duration
	// Tokens are the pieces of the answer.
	Tokens int
}

// Outcome is what an attempt's end says of its upstream.
type Outcome int

// The outcomes.
const (
	// Succeeded: the whole answer came.
	Succeeded Outcome = iota
	// Unreached: no byte can have reached the upstream.
	Unreached
	// Declined: the upstream said that it did not run the request.
	Declined
	// MissingVersion: the engine has not loaded the version.
	MissingVersion
	// Broken: the answer broke off or never came.
	Broken
	// Abandoned: the caller went away; it says nothing of the upstream.
	Abandoned
)

// OutcomeOf maps an error of package upstream, or nil, to its outcome.
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
