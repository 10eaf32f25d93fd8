package host

import (
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Said is what an upstream says of itself in its answers. Fault ports read and change it.
type Said struct {
	// RateLimit is the requests a second that it says it takes from all nodes together; 0
	// for no word on that. It takes more all the same.
	RateLimit float64 `json:"rate_limit"`
	// RestMillis is the rest that it asks for with each request that it refuses, which are
	// all; 0 while it takes work.
	RestMillis int64 `json:"rest_ms"`
}

// Validate reports the first value that cannot be used.
func (s Said) Validate() error {
	if !(s.RateLimit >= 0) || s.RestMillis < 0 {
		return eris.New("rate_limit, rest_ms: one is negative or no number")
	}
	return nil
}

// Refuse answers a request that does not run.
type Refuse func(w http.ResponseWriter, status int, reason string)

// Saying answers with what the upstream says of itself, and refuses work while it rests.
func Saying(next http.Handler, said func() (s Said, leaving bool), work func(r *http.Request) bool, refuse Refuse) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, leaving := said()
		if s.RateLimit > 0 {
			w.Header().Set(upstream.HeaderRateLimit, strconv.FormatFloat(s.RateLimit, 'f', -1, 64))
		}
		if leaving {
			w.Header().Set(upstream.HeaderLeaving, "1")
		}
		if s.RestMillis > 0 && work(r) {
			w.Header().Set(upstream.HeaderRetryAfter, strconv.FormatFloat(float64(s.RestMillis)/1000, 'f', -1, 64))
			refuse(w, http.StatusServiceUnavailable, "the upstream rests")
			return
		}
		next.ServeHTTP(w, r)
	})
}
