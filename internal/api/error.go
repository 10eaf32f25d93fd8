package api

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// errorBody is the error form of the OpenAI API, with the outcome added.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string          `json:"message"`
	Type    string          `json:"type"`
	Code    request.Code    `json:"code"`
	Param   *string         `json:"param"`
	Outcome request.Outcome `json:"outcome"`
}

var statuses = map[request.Code]int{
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
	request.CodeDuplicate:      http.StatusConflict,
	request.CodeKeyReused:      http.StatusUnprocessableEntity,
	request.CodeKeyTooOld:      http.StatusGone,
	request.CodeStopping:       http.StatusServiceUnavailable,
	request.CodeCancelled:      http.StatusRequestTimeout,
}

// asFailure returns the failure in err; anything else is unknown, because it
// is not known what ran.
func asFailure(err error) *request.Failure {
	var f *request.Failure
	if errors.As(err, &f) {
		return f
	}
	return &request.Failure{Code: request.CodeUpstreamFailed, Message: err.Error(), Outcome: request.Unknown, RetryAfter: time.Second}
}

func (d errorDetail) kind(status int) string {
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

func newErrorBody(f *request.Failure) (int, errorBody) {
	status, ok := statuses[f.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	detail := errorDetail{Message: f.Message, Code: f.Code, Outcome: f.Outcome}
	detail.Type = detail.kind(status)
	return status, errorBody{Error: detail}
}

func writeFailure(w http.ResponseWriter, f *request.Failure) {
	status, body := newErrorBody(f)
	if f.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(f.RetryAfter))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone; nothing is left to do
}

// retryAfterSeconds rounds up, since the header has whole seconds.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
