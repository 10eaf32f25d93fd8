package notice

// Answer is what one answer says of its upstream.
type Answer struct {
	// Limit is the rate limit that it names. It says nothing where LimitUnsound is set.
	Limit        Limit
	LimitUnsound bool
	// Unsound are the header fields that make no sense.
	Unsound []string
}
