package claim

import "github.com/hickorybank/hickorybank/internal/request"

// Request requests the right to run a piece of work once.
type Request struct {
	Org string
	// Key is the caller's idempotency key. UUIDv7 keys carry a time, which makes them
	// cheaper than others.
	Key         string
	Fingerprint request.Fingerprint
	// Attempt is unique to this arrival of the request. Claiming again with the same
	// attempt is idempotent and returns the result of the first claim.
	Attempt string
}
