package client

import (
	"net/http"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// notRunHeader is set to 1 by upstreams that guarantee that they did not run the request.
const notRunHeader = "X-Not-Run"

// newError returns the error of a failed call.
func newError(addr string, reach upstream.Reach, err error) *upstream.Error {
	return &upstream.Error{Reach: reach, Addr: addr, Err: err}
}

// declined reports whether the upstream guarantees that it did not run the request. The
// header alone is not enough; the status must be one by which an upstream rejects a
// request.
func declined(res *http.Response) bool {
	if res.Header.Get(notRunHeader) != "1" {
		return false
	}
	switch res.StatusCode {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusConflict,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
