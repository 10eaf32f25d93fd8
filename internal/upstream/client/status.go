package client

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// maxReason bounds what is read of a failure's reason, in bytes.
const maxReason = 512

// StatusError is an answer with a status that is no success.
type StatusError struct {
	Status int
	Reason string
	// Cause is one of the causes in package upstream, or nil.
	Cause error
}

// Error names the status and the reason that the upstream gave.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Reason)
}

// Unwrap returns the cause.
func (e *StatusError) Unwrap() error { return e.Cause }

// statusFailure reads the reason, closes the answer and classifies it.
func statusFailure(addr string, res *http.Response, causes causeByStatus) *upstream.Error {
	reason, _ := io.ReadAll(io.LimitReader(res.Body, maxReason))
	_ = res.Body.Close()
	err := &StatusError{
		Status: res.StatusCode,
		Reason: strings.TrimSpace(string(reason)),
		Cause:  causes[res.StatusCode],
	}
	if declined(res) {
		return fail(addr, upstream.Declined, err)
	}
	return fail(addr, upstream.MaybeRun, err)
}

// causeByStatus says what a status means on one of the engine's paths.
type causeByStatus map[int]error

var (
	startCauses  = causeByStatus{http.StatusNotFound: upstream.ErrUnknownVersion}
	streamCauses = causeByStatus{http.StatusNotFound: upstream.ErrUnknownStream}
	cacheCauses  = causeByStatus{http.StatusNotFound: upstream.ErrNotCached}
	orderCauses  = causeByStatus{http.StatusConflict: upstream.ErrStaleFence}
)
