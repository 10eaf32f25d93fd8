package request

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// Chat is one admitted piece of model work.
type Chat struct {
	// ID is unique to this arrival; Key is the caller's, or ID when it gave none.
	ID  string
	Key string
	Org *config.Organisation
	// Class is the request's class.
	Class *config.Class
	// Versions are those that may serve it, already cut to what the
	// organisation may use and to the model, version or session asked for.
	Versions []string
	// Snapshot is the configuration under which the request was admitted.
	Snapshot *config.Snapshot
	Arrived  time.Time
	Deadline time.Time
	// Fields are the caller's fields, passed on except model and stream.
	Fields Fields
	// Prompt is the text that is rated with the answer.
	Prompt string
	// PrefixHash identifies the leading messages for prefix caches.
	PrefixHash uint64
	// Fingerprint identifies organisation and body, whatever the key.
	Fingerprint Fingerprint
}
