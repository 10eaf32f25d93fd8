package request

import (
	"fmt"
	"time"
)

// Code is the machine-readable reason of a failure.
type Code string

// The codes. Package api maps each to an HTTP status.
const (
	CodeBadRequest     Code = "bad_request"
	CodeUnauthorised   Code = "invalid_api_key"
	CodeUnknownModel   Code = "model_not_found"
	CodeNotAllowed     Code = "model_not_allowed"
	CodeWithdrawn      Code = "version_withdrawn"
	CodeHeld           Code = "version_held"
	CodeOverloaded     Code = "overloaded"
	CodeRateLimited    Code = "rate_limited"
	CodeDeadline       Code = "deadline"
	CodeNoUpstream     Code = "no_upstream"
	CodeUpstreamFailed Code = "upstream_failed"
	CodeNotFresh       Code = "configuration_not_fresh"
	CodeLedger         Code = "ledger_unavailable"
	CodeSuspect        Code = "request_crashes_upstreams"
	CodeUnconfirmed    Code = "peers_unreachable"
	CodeDuplicate      Code = "duplicate_request"
	CodeKeyReused      Code = "idempotency_key_reused"
	CodeKeyTooOld      Code = "idempotency_key_too_old"
	CodeStopping       Code = "stopping"
	CodeCancelled      Code = "cancelled"
)

// Failure is the final answer to a request that did not complete. It implements error.
type Failure struct {
	Code    Code
	Message string
	Outcome Outcome
	// RetryAfter is the delay after which the caller may retry; 0 means it should not.
	RetryAfter time.Duration
	// Reason distinguishes failures with the same code for operators. It is empty where the
	// code is specific enough.
	Reason Reason
}

// Reason is the cause of a refusal as metrics report it to operators.
type Reason string

// The reasons of failures with the code bad_request.
const (
	ReasonMalformed   Reason = "malformed"
	ReasonTooLarge    Reason = "too_large"
	ReasonUnread      Reason = "body_unread"
	ReasonUnknownPath Reason = "unknown_path"
	ReasonUndeclared  Reason = "undeclared_call"
)

// ReasonOrCode returns the reason, or the code when no reason is set.
func (f *Failure) ReasonOrCode() Reason {
	if f.Reason != "" {
		return f.Reason
	}
	return Reason(f.Code)
}

// Error returns the message followed by code and outcome.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s, %s)", f.Message, f.Code, f.Outcome)
}

// Refuse returns the failure of a request that was not run.
func Refuse(code Code, retryAfter time.Duration, message string) *Failure {
	return &Failure{Code: code, Message: message, Outcome: NotRun, RetryAfter: retryAfter}
}
