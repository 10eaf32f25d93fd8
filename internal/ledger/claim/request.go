package claim

import "github.com/hickorybank/hickorybank/internal/request"

// Request asks for the right to run a piece of work once.
type Request struct {
	Org string
	// Key is the caller's key. UUIDv7 keys carry their time, which makes them
	// cheaper than others.
	Key         string
	Fingerprint request.Fingerprint
	// Attempt is unique to this arrival. Asking again with the same attempt
	// is harmless and tells what became of the first time.
	Attempt string
}
