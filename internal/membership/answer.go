package membership

import "time"

// Answer tells a caller which entry addresses to use.
type Answer struct {
	Addresses []string
	// TTL is how long the answer may be kept.
	TTL time.Duration
}
