package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// inForce is the applied configuration with the time until which new work may
// be admitted under it, in one piece: read apart, the time of a newer
// configuration could be taken for that of an older one.
type inForce struct {
	snapshot *config.Snapshot
	until    time.Duration
}
