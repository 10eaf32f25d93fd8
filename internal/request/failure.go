package request

import (
	"fmt"
	"time"
)

// Code is the machine-readable reason of a failure.
type Code string

// The codes, each with its HTTP status in package api.
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
	CodeDuplicate      Code = "duplicate_request"
	CodeKeyReused      Code = "idempotency_key_reused"
	CodeKeyTooOld      Code = "idempotency_key_too_old"
	CodeStopping       Code = "stopping"
	CodeCancelled      Code = "cancelled"
)

// Failure is the final answer to a request that did not complete.
type Failure struct {
	Code    Code
	Message string
	Outcome Outcome
	// RetryAfter tells the caller when to come back; 0 says not to.
	RetryAfter time.Duration
	// Reason tells apart for operators what has one code; empty where the
	// code says all.
	Reason Reason
}

// Reason is why a request was refused, for operators.
type Reason string

// The reasons of what has the code bad_request.
const (
	ReasonMalformed   Reason = "malformed"
	ReasonTooLarge    Reason = "too_large"
	ReasonUnread      Reason = "body_unread"
	ReasonUnknownPath Reason = "unknown_path"
	ReasonUndeclared  Reason = "undeclared_call"
)

// Why is the reason, or else the code.
func (f *Failure) Why() Reason {
	if f.Reason != "" {
		return f.Reason
	}
	return Reason(f.Code)
}

// Error returns the message with its code and outcome.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s, %s)", f.Message, f.Code, f.Outcome)
}

// Refuse makes a failure of a request that was not run.
func Refuse(code Code, retryAfter time.Duration, message string) *Failure {
	return &Failure{Code: code, Message: message, Outcome: NotRun, RetryAfter: retryAfter}
}
