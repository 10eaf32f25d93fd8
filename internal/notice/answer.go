package notice

import "time"

// Answer is what one answer says of its upstream.
type Answer struct {
	// Limit is the rate limit that it names. It says nothing where LimitUnsound is set.
	Limit        Limit
	LimitUnsound bool
	// Leaving is set where the upstream says that it leaves.
	Leaving bool
	// Rest is how long the upstream wants nothing from the node that it has turned away; 0
	// where it asks for none.
	Rest time.Duration
	// Unsound are the header fields that make no sense.
	Unsound []string
}
