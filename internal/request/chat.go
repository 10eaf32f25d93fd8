package request

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// Chat is one admitted chat request.
type Chat struct {
	// ID is unique to this arrival. Key is the caller's idempotency key, or ID without one.
	ID    string
	Key   string
	Org   *config.Organisation
	Class *config.Class
	// Versions are the versions that may serve the request: those of the requested model,
	// version or session that the organisation may use.
	Versions []string
	// Snapshot is the configuration under which the request was admitted.
	Snapshot *config.Snapshot
	Arrived  time.Time
	Deadline time.Time
	// Fields are the fields of the caller's body. All but model and stream are forwarded.
	Fields Fields
	// Prompt is the text that is sent to the rating service with the answer.
	Prompt string
	// PrefixHash identifies the leading messages for prefix caches.
	PrefixHash uint64
	// Fingerprint identifies organisation and body, independent of the key.
	Fingerprint Fingerprint
}
