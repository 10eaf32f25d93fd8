package upstream

// Headers by which an upstream reports its own state, in any response.
const (
	// HeaderRateLimit is the number of requests per second that an overloaded upstream
	// accepts from all nodes together. It applies as long as responses contain it.
	HeaderRateLimit = "X-Rate-Limit-Per-Second"
	// HeaderLeaving is 1 if the upstream accepts no new requests.
	HeaderLeaving = "X-Leaving"
	// HeaderRetryAfter, in a response with status 503, is how long the node that receives
	// it must not send requests to the upstream: seconds, or a date.
	HeaderRetryAfter = "Retry-After"
)
