package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// List is one answer of the platform's VM list.
type List struct {
	VMs []platform.VM
	// ReadAt is no later than the start of the read, on this node's clock.
	ReadAt time.Time
}
