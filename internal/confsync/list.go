package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// List is a VM list of the platform and the time of its read.
type List struct {
	VMs []platform.VM
	// ReadAt is not later than the start of the read, on this node's clock.
	ReadAt time.Time
}
