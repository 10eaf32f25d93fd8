package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// inForce is the applied configuration and the time until which new work may be admitted
// under it. They are published together: read separately, the time of a newer configuration
// could be combined with an older configuration.
type inForce struct {
	snapshot *config.Snapshot
	until    time.Duration
}
