package suspect

import "github.com/hickorybank/hickorybank/internal/request"

// Ready is the output of a tracker.
type Ready struct {
	// Messages are to be sent, each once; the tracker repeats those without an answer.
	Messages []Message
	// Decisions are on attempts that had to wait.
	Decisions []Decision
	// Reportable are attempts whose failure may now be reported to the caller.
	Reportable []string
	// Convicted are requests that were convicted, here or at a peer.
	Convicted []request.Fingerprint
}
