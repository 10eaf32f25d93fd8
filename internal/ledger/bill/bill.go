package bill

import "time"

// Bill is what one completed request costs its organisation.
type Bill struct {
	Org string
	// Key is the request's key, unique within the organisation.
	Key string
	// Digest tells bodies with one key apart, for requests that need no claim;
	// see [DigestOf]. It is 0 where the key alone is enough.
	Digest uint64
	Class  string
	// Version is the model version that served the request; empty for a
	// plain service, which Service names.
	Version string
	Service string
	// Cost is in micro-units of currency.
	Cost         int64
	InputTokens  int64
	OutputTokens int64
	// At is when the request completed, in whole milliseconds.
	At time.Time
}
