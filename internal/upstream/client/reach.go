package client

import (
	"net/http"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// notRunHeader is set by upstreams whose contract says that they did not run
// the request.
const notRunHeader = "X-Not-Run"

func fail(addr string, reach upstream.Reach, err error) *upstream.Error {
	return &upstream.Error{Reach: reach, Addr: addr, Err: err}
}

// declined reports whether the upstream's contract says that it ran nothing.
// The header alone does not say so: only with a status by which an upstream
// turns work away.
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
