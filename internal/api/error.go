package api

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// errorBody is an error response of the OpenAI API, extended by the outcome.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail describes an error. Outcome tells whether the request may have run.
type errorDetail struct {
	Message string          `json:"message"`
	Type    string          `json:"type"`
	Code    request.Code    `json:"code"`
	Param   *string         `json:"param"`
	Outcome request.Outcome `json:"outcome"`
}

// statusByCode maps failure codes to HTTP status codes. A code that is missing here would
// be sent as an internal server error.
var statusByCode = map[request.Code]int{
	request.CodeBadRequest:     http.StatusBadRequest,
	request.CodeUnauthorised:   http.StatusUnauthorized,
	request.CodeUnknownModel:   http.StatusNotFound,
	request.CodeNotAllowed:     http.StatusForbidden,
	request.CodeWithdrawn:      http.StatusConflict,
	request.CodeHeld:           http.StatusConflict,
	request.CodeOverloaded:     http.StatusTooManyRequests,
	request.CodeRateLimited:    http.StatusTooManyRequests,
	request.CodeDeadline:       http.StatusGatewayTimeout,
	request.CodeNoUpstream:     http.StatusServiceUnavailable,
	request.CodeUpstreamFailed: http.StatusBadGateway,
	request.CodeNotFresh:       http.StatusServiceUnavailable,
	request.CodeLedger:         http.StatusServiceUnavailable,
	request.CodeSuspect:        http.StatusUnprocessableEntity,
	request.CodeUnconfirmed:    http.StatusServiceUnavailable,
	request.CodeDuplicate:      http.StatusConflict,
	request.CodeKeyReused:      http.StatusUnprocessableEntity,
	request.CodeKeyTooOld:      http.StatusGone,
	request.CodeStopping:       http.StatusServiceUnavailable,
	request.CodeCancelled:      http.StatusRequestTimeout,
}

// asFailure returns the failure in err. Any other error becomes a failure with outcome
// Unknown, since the request may have run.
func asFailure(err error) *request.Failure {
	var f *request.Failure
	if errors.As(err, &f) {
		return f
	}
	return &request.Failure{Code: request.CodeUpstreamFailed, Message: err.Error(), Outcome: request.Unknown, RetryAfter: time.Second}
}

// errorType returns the error type of the OpenAI API for an HTTP status.
func (d errorDetail) errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

// newErrorBody returns the HTTP status and the body for a failure.
func newErrorBody(f *request.Failure) (int, errorBody) {
	status, ok := statusByCode[f.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	detail := errorDetail{Message: f.Message, Code: f.Code, Outcome: f.Outcome}
	detail.Type = detail.errorType(status)
	return status, errorBody{Error: detail}
}

// writeFailure sends a failure as the response.
func writeFailure(w http.ResponseWriter, f *request.Failure) {
	status, body := newErrorBody(f)
	if f.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(f.RetryAfter))
	}
	writeJSON(w, status, body)
}

// retryAfterSeconds returns the value of Retry-After in whole seconds, rounded up.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
