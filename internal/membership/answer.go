package membership

import "time"

// Answer is the response to a caller that requests entry addresses.
type Answer struct {
	// Addresses are the entry addresses to use, the preferred one first.
	Addresses []string
	// TTL is how long the caller may cache the answer.
	TTL time.Duration
}
