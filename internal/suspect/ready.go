package suspect

import "github.com/hickorybank/hickorybank/internal/request"

// Ready is what a tracker wants done.
type Ready struct {
	// Messages are to be sent, each once; the tracker sends again what it
	// misses the answer of.
	Messages []Message
	// Decisions are on attempts that had to wait.
	Decisions []Decision
	// Released are attempts whose failure may now be told to the caller.
	Released []string
	// Convicted are requests that have been found to crash upstreams, here or
	// at a peer.
	Convicted []request.Fingerprint
}
