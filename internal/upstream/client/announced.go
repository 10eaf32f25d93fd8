package client

import (
	"net/http"

	"github.com/hickorybank/hickorybank/internal/notice"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// parseNotices parses the headers by which an upstream reports its own state. Retry-After
// counts only with status 503.
func parseNotices(status int, h http.Header) notice.Response {
	a := notice.Response{}
	a.ParseLimit(upstream.HeaderRateLimit, h.Get(upstream.HeaderRateLimit))
	a.ParseLeaving(upstream.HeaderLeaving, h.Get(upstream.HeaderLeaving))
	if status == http.StatusServiceUnavailable {
		a.ParseBackoff(upstream.HeaderRetryAfter, h.Get(upstream.HeaderRetryAfter), h.Get("Date"))
	}
	return a
}
