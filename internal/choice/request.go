package choice

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// Request describes the request that a version is chosen for.
type Request struct {
	Snapshot *config.Snapshot
	Org      *config.Organisation
	Class    *config.Class
	// Versions are the versions that may serve the request: allowed for the organisation,
	// not withdrawn, and matching the model, version or session of the request.
	Versions []string
	// Pinned is set when a session or the caller fixed the version, which is then the
	// only one in Versions.
	Pinned bool
	// Capacities is the capacity for each of Versions. If it is empty, nothing is known and
	// every version counts as having capacity.
	Capacities []VersionCapacity
	Now        time.Time
	// Slack is the time left until the deadline.
	Slack time.Duration
	// Random is a uniformly distributed number that decides between mixed plans, sampling
	// and exposure.
	Random uint64
}
