package client

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

const maxReason = 512

// StatusError is an answer with a status that is no success.
type StatusError struct {
	Status int
	Reason string
}

// Error names the status and the reason that the upstream gave.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Reason)
}

// statusFailure reads the reason, closes the answer and classifies it.
func statusFailure(addr string, res *http.Response) *upstream.Error {
	reason, _ := io.ReadAll(io.LimitReader(res.Body, maxReason))
	_ = res.Body.Close()
	err := &StatusError{Status: res.StatusCode, Reason: strings.TrimSpace(string(reason))}
	if declined(res) {
		return fail(addr, upstream.Declined, err)
	}
	return fail(addr, upstream.MaybeRun, err)
}
