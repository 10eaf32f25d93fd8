package node

import (
	"errors"
	"net/http"

	"github.com/hickorybank/hickorybank/internal/upstream"
	upstreamclient "github.com/hickorybank/hickorybank/internal/upstream/client"
)

// engineFailed reports whether err is a failure that the engine itself reported, as opposed to
// a lost connection.
func engineFailed(err error) bool {
	var status *upstreamclient.StatusError
	var inStream *upstreamclient.StreamError
	return reachOf(err) == upstream.MaybeRun && (errors.As(err, &status) || errors.As(err, &inStream))
}

// blamesVersion reports whether a failure that an engine reported counts against the version. An
// engine that has not loaded it, is starting or has no room says nothing about its answers.
func blamesVersion(err error) bool {
	var status *upstreamclient.StatusError
	if errors.Is(err, upstream.ErrUnknownVersion) {
		return false
	}
	if !errors.As(err, &status) {
		return true
	}
	switch status.Status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return false
	}
	return true
}
