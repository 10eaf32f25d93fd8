package route

import "time"

// Share is one service of a route and its weight among the route's services.
type Share struct {
	Service string
	Weight  int
}

// Route defines how requests of one host and path prefix are served.
type Route struct {
	Name string
	// SourceDigest is the digest of the encoded route in the configuration; 0 if unknown. A
	// later table reuses the route where the digest is the same.
	SourceDigest uint64
	// Host is the host name of the requests, in any case.
	Host string
	// Prefix is the prefix of the requests' raw paths.
	Prefix string
	Kind   Kind
	// Shares are the services that serve the route; at least one.
	Shares []Share
	// Timeout bounds the total time that a request may take.
	Timeout time.Duration
	// LatencyGoal is the time within which a stream's first event, or else the whole
	// response, counts as on time.
	LatencyGoal time.Duration
	// GapGoal is the longest gap between events of a stream that counts as on time.
	GapGoal time.Duration
	// MaxAttempts bounds the number of upstreams to which one request is sent.
	MaxAttempts int
	// Priority ranks the route's requests; 0 is served first.
	Priority int
	// Public routes need no key.
	Public bool
	// Sticky requests carry prompt prefixes that an upstream may have cached.
	Sticky bool
	// Resumable streams may continue at another upstream.
	Resumable bool
	// Models lists the models from which the router chooses, smallest first; empty
	// where the caller names the model.
	Models []string
	// Regions restricts the regions that may run the requests; empty for no restriction.
	Regions []string
}

// Repeatable reports whether a request that may already have run may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}
