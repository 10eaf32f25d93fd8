package client

import (
	"net/http"

	"github.com/hickorybank/hickorybank/internal/notice"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// announced decodes what an upstream says of itself in an answer's headers.
func announced(status int, h http.Header) notice.Response {
	a := notice.Response{}
	a.ParseLimit(upstream.HeaderRateLimit, h.Get(upstream.HeaderRateLimit))
	a.ParseLeaving(upstream.HeaderLeaving, h.Get(upstream.HeaderLeaving))
	if status == http.StatusServiceUnavailable {
		a.ParseBackoff(upstream.HeaderRetryAfter, h.Get(upstream.HeaderRetryAfter), h.Get("Date"))
	}
	return a
}
