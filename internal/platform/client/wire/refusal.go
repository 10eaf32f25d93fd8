package wire

import (
	"fmt"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// Reason is the reason for which the platform refused a call.
type Reason string

// The reasons of refusals.
const (
	// RateLimited means that the call exceeds the rate limit.
	RateLimited Reason = "rate_limited"
	// Unavailable means that the service is down or cannot be reached.
	Unavailable Reason = "unavailable"
	// Invalid means that the same call can never succeed.
	Invalid Reason = "invalid"
	// Absent means that the requested item does not exist.
	Absent Reason = "absent"
)

// Refusal is the body of a response that refuses a call, and also the resulting error.
// The call had no effect, so it wraps [platform.ErrRefused].
type Refusal struct {
	Reason Reason `json:"refused"`
	Detail string `json:"detail,omitempty"`
	// RetryAfterMS is the time to wait before a retry, in milliseconds; 0 if unknown.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Error returns the reason and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Reason, r.Detail)
}

// Unwrap returns [platform.ErrRefused].
func (r *Refusal) Unwrap() error { return platform.ErrRefused }

// RetryAfter returns the time to wait before a retry; 0 if unknown.
func (r *Refusal) RetryAfter() time.Duration {
	return time.Duration(r.RetryAfterMS) * time.Millisecond
}
