package bill

import "time"

// Bill is the charge for one completed request.
type Bill struct {
	Org string
	// Key is the request's key, unique within the organisation.
	Key string
	// Digest distinguishes request bodies with the same key, for requests that need no
	// claim; see [DigestOf]. It is 0 if the key alone identifies the request.
	Digest uint64
	Class  string
	// Version is the model version that served the request. It is empty for a plain
	// service; Service then names that.
	Version string
	Service string
	// Cost is in micro-units of currency.
	Cost         int64
	InputTokens  int64
	OutputTokens int64
	// At is when the request completed, in whole milliseconds.
	At time.Time
}
