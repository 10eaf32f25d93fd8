package upstream

// Headers in which an upstream says things of itself, in any answer.
const (
	// HeaderRateLimit names the requests a second that an upstream in need takes from all
	// nodes together, for as long as its answers name it.
	HeaderRateLimit = "X-Rate-Limit-Per-Second"
	// HeaderLeaving is 1 where the upstream takes no new work any more.
	HeaderLeaving = "X-Leaving"
	// HeaderRetryAfter, in a refusal with status 503, is how long the upstream wants nothing
	// from the node that it has turned away: seconds, or a date.
	HeaderRetryAfter = "Retry-After"
)
