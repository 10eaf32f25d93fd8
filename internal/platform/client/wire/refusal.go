package wire

import (
	"fmt"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// Reason says why a call was refused.
type Reason string

// The reasons of refusals.
const (
	// RateLimited means that the call exceeds the rate limit.
	RateLimited Reason = "rate_limited"
	// Unavailable means that the service is down or could not be reached.
	Unavailable Reason = "unavailable"
	// Invalid means that the same call can never succeed.
	Invalid Reason = "invalid"
	// Absent means that what the call names does not exist.
	Absent Reason = "absent"
)

// Refusal is the body of an answer that refuses a call, and the error made of
// it. The call took no effect: it wraps [platform.ErrRefused].
type Refusal struct {
	Reason Reason `json:"refused"`
	Detail string `json:"detail,omitempty"`
	// RetryAfterMS is how many milliseconds to wait; 0 when not known.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Reason, r.Detail)
}

// Unwrap makes errors.Is find [platform.ErrRefused].
func (r *Refusal) Unwrap() error { return platform.ErrRefused }

// RetryAfter is how long to wait before trying again; 0 when not known.
func (r *Refusal) RetryAfter() time.Duration {
	return time.Duration(r.RetryAfterMS) * time.Millisecond
}
