package host

import (
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Said is the status that an upstream announces in the headers of its answers. The
// fault ports read and change it.
type Said struct {
	// RateLimit is the announced limit for all nodes together, in requests per second;
	// 0 announces none. The upstream does not enforce it.
	RateLimit float64 `json:"rate_limit"`
	// RestMillis is the announced time until a retry, in milliseconds. While it is not
	// 0, the upstream refuses all work.
	RestMillis int64 `json:"rest_ms"`
}

// Validate returns an error if a value is negative or not a number.
func (s Said) Validate() error {
	if !(s.RateLimit >= 0) || s.RestMillis < 0 {
		return eris.New("rate_limit, rest_ms: one is negative or no number")
	}
	return nil
}

// Refuse answers a request that does not run, with a status and a reason.
type Refuse func(w http.ResponseWriter, status int, reason string)

// WithStatusHeaders returns a handler that adds the headers of the current status to
// every answer. While RestMillis is not 0, it refuses the requests for which isWork is
// true; all others go to next.
func WithStatusHeaders(next http.Handler, current func() (s Said, leaving bool), isWork func(r *http.Request) bool, refuse Refuse) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, leaving := current()
		if s.RateLimit > 0 {
			w.Header().Set(upstream.HeaderRateLimit, strconv.FormatFloat(s.RateLimit, 'f', -1, 64))
		}
		if leaving {
			w.Header().Set(upstream.HeaderLeaving, "1")
		}
		if s.RestMillis > 0 && isWork(r) {
			w.Header().Set(upstream.HeaderRetryAfter, strconv.FormatFloat(float64(s.RestMillis)/1000, 'f', -1, 64))
			refuse(w, http.StatusServiceUnavailable, "the upstream rests")
			return
		}
		next.ServeHTTP(w, r)
	})
}
