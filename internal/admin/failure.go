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

// The codes.
const (
	CodeBadRequest       Code = "bad_request"
	CodeUnauthorised     Code = "unauthorised"
	CodeNotFound         Code = "not_found"
	CodeTooLarge         Code = "too_large"
	CodeConflict         Code = "revision_conflict"
	CodeNoRevision       Code = "revision_required"
	CodeInvalid          Code = "invalid"
	CodeKeyReused        Code = "change_id_reused"
	CodeStoreUnavailable Code = "store_unavailable"
	CodeUnknown          Code = "outcome_unknown"
	CodeNotOffered       Code = "not_offered"
	CodeInternal         Code = "internal"
)

// Outcome is what became of a change that was not accepted.
type Outcome string

// The outcomes.
const (
	// NotApplied: this request changed nothing.
	NotApplied Outcome = "not_applied"
	// Unknown: the change may have been or may yet be applied; its id tells
	// later.
	Unknown Outcome = "unknown"
)

// Failure is the answer to a request that did not succeed.
type Failure struct {
	Status  int            `json:"-"`
	Code    Code           `json:"code"`
	Message string         `json:"message"`
	Outcome Outcome        `json:"outcome,omitempty"`
	Faults  []config.Fault `json:"faults,omitempty"`
	// Revision is the present one, where it matters.
	Revision *uint64 `json:"revision,omitempty"`
	// Change is the id to ask with.
	Change string `json:"change,omitempty"`
	// RetryAfter tells when to come back; 0 says not to.
	RetryAfter time.Duration `json:"-"`
}

// Error returns the message with its code and faults.
func (f *Failure) Error() string {
	text := fmt.Sprintf("%s (%s)", f.Message, f.Code)
	for _, fault := range f.Faults {
		text += "\n  " + fault.Field + ": " + fault.Reason
	}
	return text
}

// FailureBody is the form in which a failure is sent.
type FailureBody struct {
	Error Failure `json:"error"`
}

const retrySoon = time.Second

func fail(status int, code Code, format string, args ...any) *Failure {
	return &Failure{Status: status, Code: code, Message: fmt.Sprintf(format, args...)}
}

func badRequest(format string, args ...any) *Failure {
	return fail(http.StatusBadRequest, CodeBadRequest, format, args...)
}

func notFound(format string, args ...any) *Failure {
	return fail(http.StatusNotFound, CodeNotFound, format, args...)
}

func invalid(faults []config.Fault) *Failure {
	wrong := "a field is wrong"
	if len(faults) != 1 {
		wrong = fmt.Sprintf("%d fields are wrong", len(faults))
	}
	f := fail(http.StatusUnprocessableEntity, CodeInvalid, "nothing was changed: %s", wrong)
	f.Faults = faults
	f.Outcome = NotApplied
	return f
}

func conflict(base, present uint64) *Failure {
	f := fail(http.StatusPreconditionFailed, CodeConflict, "the change was made from revision %d; the present one is %d", base, present)
	f.Revision = &present
	f.Outcome = NotApplied
	return f
}

// storeFailure is the answer to a failed read or change; id is of the change,
// or empty for a read.
func storeFailure(err error, id string) *Failure {
	var own *Failure
	var faults config.Faults
	switch {
	case errors.As(err, &own):
		return own
	case errors.As(err, &faults):
		return invalid(faults)
	case errors.Is(err, platform.ErrUnknown):
		return unknown(err, id)
	case errors.Is(err, platform.ErrRefused):
		f := fail(http.StatusServiceUnavailable, CodeStoreUnavailable, "the platform's store refused: %v", err)
		f.RetryAfter = retrySoon
		f.Change = id
		if id != "" {
			f.Outcome = NotApplied
		}
		return f
	default:
		return fail(http.StatusInternalServerError, CodeInternal, "%v", err)
	}
}

func unknown(err error, id string) *Failure {
	f := fail(http.StatusGatewayTimeout, CodeUnknown, "unknown, ask with this change id: %v", err)
	f.RetryAfter = retrySoon
	if id != "" {
		f.Outcome = Unknown
		f.Change = id
	}
	return f
}
