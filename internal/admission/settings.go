package admission

import "time"

// Settings configure a [Queue]. Zero values take the defaults named here.
type Settings struct {
	// MaxQueued bounds the waiting requests of a pool (512).
	MaxQueued int
	// MaxQueuedPerOrganisation bounds those of one organisation in a pool (128).
	MaxQueuedPerOrganisation int
	// ImmediateFloor is the share of a pool's concurrency that only immediate
	// work may take, in a pool that had any within the last minute (0.2).
	ImmediateFloor float64
	// DeferrableShare is the share of an organisation's places that its
	// deferrable work gets while its heavy work waits too (0.1).
	DeferrableShare float64
	// MaxWait bounds the wait that a request may be queued for, so that a
	// queue is empty soon after an overload.
	MaxWait WaitSettings
	// Limit configures each pool's concurrency limit.
	Limit LimitSettings
}

// WaitSettings are the longest waits in the queue, by kind.
type WaitSettings struct {
	Immediate  time.Duration // 500 ms
	Heavy      time.Duration // 2 s
	Deferrable time.Duration // 6 s
}

// LimitSettings configure a concurrency limit that adapts to latency.
type LimitSettings struct {
	Initial int // 32
	Min     int // 4
	Max     int // 4096
	// Tolerance is how far latency may rise above its moving minimum before
	// the limit shrinks (2).
	Tolerance float64
	// Window is how long a minimum counts (30 s).
	Window time.Duration
}
