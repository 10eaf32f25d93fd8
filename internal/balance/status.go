package balance

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// HostStatus is what the balancer holds of one upstream.
type HostStatus struct {
	VM       platform.VM
	InFlight int
	Versions []string
	Leaving  bool
	// Open is set while the breaker keeps requests away.
	Open bool
	// Ejected is set while the upstream counts as slow but alive.
	Ejected bool
	// ReportAge is the age of its last load report; negative: there is none.
	ReportAge time.Duration
}
