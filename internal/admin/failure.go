package admin

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// Code is the machine-readable reason of a failure.
type Code string

// The codes of failures.
const (
	// CodeBadRequest means that a parameter, a header or the body is malformed.
	CodeBadRequest Code = "bad_request"
	// CodeUnauthorised means that the request has no valid operator's key.
	CodeUnauthorised Code = "unauthorised"
	// CodeNotFound means that the path or the entity does not exist.
	CodeNotFound Code = "not_found"
	// CodeTooLarge means that the body exceeds its limit.
	CodeTooLarge Code = "too_large"
	// CodeConflict means that the head is not the revision in If-Match.
	CodeConflict Code = "revision_conflict"
	// CodeNoRevision means that If-Match is missing.
	CodeNoRevision Code = "revision_required"
	// CodeInvalid means that the document or a part of it is invalid; see [Failure.Faults].
	CodeInvalid Code = "invalid"
	// CodeChangeIDReused means that the change's id belongs to another change.
	CodeChangeIDReused Code = "change_id_reused"
	// CodeStoreUnavailable means that the platform's store or a reader did not answer.
	CodeStoreUnavailable Code = "store_unavailable"
	// CodeUnknown means that the store did not confirm the outcome.
	CodeUnknown Code = "outcome_unknown"
	// CodeNotOffered means that the node has no reader for the resource.
	CodeNotOffered Code = "not_offered"
	// CodeInternal means any other error, such as a stored document that cannot be read.
	CodeInternal Code = "internal"
)

// Outcome is the effect of a change that was not accepted.
type Outcome string

// The outcomes of changes that were not accepted.
const (
	// NotApplied means that this request changed nothing.
	NotApplied Outcome = "not_applied"
	// Unknown means that the change may have been applied or may still be. Its state can be queried
	// later by its id.
	Unknown Outcome = "unknown"
)

// Failure is the answer to a request that did not succeed. Faults are set with [CodeInvalid].
type Failure struct {
	Status  int            `json:"-"`
	Code    Code           `json:"code"`
	Message string         `json:"message"`
	Outcome Outcome        `json:"outcome,omitempty"`
	Faults  []config.Fault `json:"faults,omitempty"`
	// Revision is the current revision, if the failure depends on it.
	Revision *uint64 `json:"revision,omitempty"`
	// Change is the change's id, with which its state can be queried.
	Change string `json:"change,omitempty"`
	// RetryAfter is the time after which to retry; 0 means that a retry does not help.
	RetryAfter time.Duration `json:"-"`
}

// Error returns the message with its code and one line for each fault.
func (f *Failure) Error() string {
	text := fmt.Sprintf("%s (%s)", f.Message, f.Code)
	for _, fault := range f.Faults {
		text += "\n  " + fault.Field + ": " + fault.Reason
	}
	return text
}

// FailureBody is the JSON body that carries a failure.
type FailureBody struct {
	Error Failure `json:"error"`
}

// storeRetryAfter is the Retry-After of failures of the platform's store.
const storeRetryAfter = time.Second

func newFailure(status int, code Code, format string, args ...any) *Failure {
	return &Failure{Status: status, Code: code, Message: fmt.Sprintf(format, args...)}
}

func badRequest(format string, args ...any) *Failure {
	return newFailure(http.StatusBadRequest, CodeBadRequest, format, args...)
}

func notFound(format string, args ...any) *Failure {
	return newFailure(http.StatusNotFound, CodeNotFound, format, args...)
}

func invalid(faults []config.Fault) *Failure {
	summary := "a field is wrong"
	if len(faults) != 1 {
		summary = fmt.Sprintf("%d fields are wrong", len(faults))
	}
	f := newFailure(http.StatusUnprocessableEntity, CodeInvalid, "nothing was changed: %s", summary)
	f.Faults = faults
	f.Outcome = NotApplied
	return f
}

func conflict(base, present uint64) *Failure {
	f := newFailure(http.StatusPreconditionFailed, CodeConflict, "the change was made from revision %d; the present one is %d", base, present)
	f.Revision = &present
	f.Outcome = NotApplied
	return f
}

// storeFailure returns the answer to a failed read or change. id is the change's, or empty for a read.
func storeFailure(err error, id string) *Failure {
	var failure *Failure
	var faults config.Faults
	switch {
	case errors.As(err, &failure):
		return failure
	case errors.As(err, &faults):
		return invalid(faults)
	case errors.Is(err, platform.ErrUnknown):
		return unknownOutcome(err, id)
	case errors.Is(err, platform.ErrRefused):
		f := newFailure(http.StatusServiceUnavailable, CodeStoreUnavailable, "the platform's store refused: %v", err)
		f.RetryAfter = storeRetryAfter
		f.Change = id
		if id != "" {
			f.Outcome = NotApplied
		}
		return f
	default:
		return newFailure(http.StatusInternalServerError, CodeInternal, "%v", err)
	}
}

func unknownOutcome(err error, id string) *Failure {
	f := newFailure(http.StatusGatewayTimeout, CodeUnknown, "unknown, ask with this change id: %v", err)
	f.RetryAfter = storeRetryAfter
	if id != "" {
		f.Outcome = Unknown
		f.Change = id
	}
	return f
}
