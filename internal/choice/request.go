package choice

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// Request is what a version is chosen for.
type Request struct {
	Snapshot *config.Snapshot
	Org      *config.Organisation
	Class    *config.Class
	// Versions may serve the request: already cut to what the organisation
	// may use, to what is not withdrawn, and to the model, version or session
	// that was asked for.
	Versions []string
	// Pinned says that a session or the caller fixed the version, which is
	// then the only one in Versions.
	Pinned bool
	// Rooms are what there is room for, one for each of Versions. When it is
	// empty nothing is known, and every version counts as having room.
	Rooms []Room
	Now   time.Time
	// Slack is the time left until the deadline.
	Slack time.Duration
	// Random is a uniformly drawn number; it decides between mixed plans,
	// sampling and exposure.
	Random uint64
}
