package client

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// maxReasonBytes is the maximum length of the reason that is read from a failure, in
// bytes.
const maxReasonBytes = 512

// StatusError is the error of a response with an unsuccessful status.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
	// Reason is the start of the body, without surrounding white space.
	Reason string
	// Cause is one of the causes in package upstream, or nil.
	Cause error
}

// Error returns the status and the reason.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Reason)
}

// Unwrap returns the cause.
func (e *StatusError) Unwrap() error { return e.Cause }

// statusError returns the error for an unsuccessful response, and closes its body.
func statusError(addr string, res *http.Response, causes causeByStatus) *upstream.Error {
	reason, _ := io.ReadAll(io.LimitReader(res.Body, maxReasonBytes))
	_ = res.Body.Close()
	err := &StatusError{
		Status: res.StatusCode,
		Reason: strings.TrimSpace(string(reason)),
		Cause:  causes[res.StatusCode],
	}
	if declined(res) {
		return newError(addr, upstream.Declined, err)
	}
	return newError(addr, upstream.MaybeRun, err)
}

// causeByStatus maps status codes to causes, for one kind of request to an engine.
type causeByStatus map[int]error

var (
	startCauses  = causeByStatus{http.StatusNotFound: upstream.ErrUnknownVersion}
	streamCauses = causeByStatus{http.StatusNotFound: upstream.ErrUnknownStream}
	cacheCauses  = causeByStatus{http.StatusNotFound: upstream.ErrNotCached}
	orderCauses  = causeByStatus{http.StatusConflict: upstream.ErrStaleFence}
)
