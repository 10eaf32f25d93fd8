package route

import "time"

// Share is one service of a route and its part of the route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route says how requests of one host and path prefix are served.
type Route struct {
	Name string
	// Text is the digest of the text that the route was read from; 0 if it is not
	// known. A later table with the same text has the same route.
	Text   uint64
	Host   string
	Prefix string
	Kind   Kind
	// Shares are the services that serve the route; at least one.
	Shares []Share
	// Timeout is the longest time that a request is kept.
	Timeout time.Duration
	// Goal is the time within which an answer is on time: a stream's first
	// event, else the whole answer.
	Goal time.Duration
	// GapGoal is the longest pause between events of an answer on time.
	GapGoal time.Duration
	// MaxAttempts bounds the upstreams to which one request is sent.
	MaxAttempts int
	// Priority ranks the route's requests; 0 is served first.
	Priority int
	// Public routes need no key.
	Public bool
	// Sticky requests carry prompt parts that an upstream may have cached.
	Sticky bool
	// Resumable streams may go on at another upstream.
	Resumable bool
	// Models are those that the router chooses from, smallest first; empty
	// where the caller names the model.
	Models []string
	// Regions are those that may run the requests; none for all.
	Regions []string
}

// Repeatable tells whether a request that may have run may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}
