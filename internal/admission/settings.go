package admission

import "time"

// Settings configure a [Queue]. Zero values take the defaults named here.
type Settings struct {
	// MaxQueued bounds the waiting requests of a pool (512).
	MaxQueued int
	// MaxQueuedPerOrganisation bounds those of one organisation in a pool (128).
	MaxQueuedPerOrganisation int
	// ImmediateFloor is the share of a pool's concurrency that only immediate
	// work may take (0.1).
	ImmediateFloor float64
	// Limit configures each pool's concurrency limit.
	Limit LimitSettings
}

// LimitSettings configure a concurrency limit that adapts to latency.
type LimitSettings struct {
	Initial int // 32
	Min     int // 4
	Max     int // 4096
	// Tolerance is how far latency may rise above its moving minimum before
	// the limit shrinks (2.0).
	Tolerance float64
	// Window is how long a minimum counts (30 s).
	Window time.Duration
}
