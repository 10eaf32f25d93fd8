package admission

import "time"

// Settings configures a [Queue]. Zero values take the defaults named here.
type Settings struct {
	// MaxQueued bounds the waiting requests of a pool (512).
	MaxQueued int
	// MaxQueuedPerOrganisation bounds the waiting requests of one organisation in each
	// lane of a pool (128).
	MaxQueuedPerOrganisation int
	// ImmediateFloor is the fraction of a pool's concurrency reserved for immediate work,
	// if the pool had any within the last minute (0.2).
	ImmediateFloor float64
	// DeferrableShare is the share of an organisation's served work that its deferrable
	// requests get while its heavy requests also wait (0.1).
	DeferrableShare float64
	// MaxWait bounds the estimated wait at which a request is still queued, so that a
	// queue empties soon after an overload.
	MaxWait WaitSettings
	// Limit configures each pool's concurrency limit.
	Limit LimitSettings
}

// WaitSettings are the longest estimated waits in the queue, by kind.
type WaitSettings struct {
	Immediate  time.Duration // 500 ms
	Heavy      time.Duration // 2 s
	Deferrable time.Duration // 6 s
}

// LimitSettings configures a concurrency limit that adapts to latency, in requests.
type LimitSettings struct {
	Initial int // 32
	Min     int // 4
	Max     int // 4096
	// Tolerance is the multiple of its moving minimum above which latency shrinks the
	// limit (2).
	Tolerance float64
	// Window is how long a minimum counts, and the interval between probes (30 s).
	Window time.Duration
}
