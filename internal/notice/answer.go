package notice

import "time"

// Response is what the header fields of one response announce about its upstream.
type Response struct {
	// Limit is the advertised rate limit. It is not valid if LimitInvalid is set.
	Limit        Limit
	LimitInvalid bool
	// Leaving is set if the upstream announces that it shuts down.
	Leaving bool
	// Backoff is the requested back-off: how long the upstream wants no requests from the
	// node that it rejected. It is 0 if the response requests none.
	Backoff time.Duration
	// InvalidFields lists the names of the header fields with invalid values.
	InvalidFields []string
}
