package admission

import "time"

// RateSettings configures a [RateLimiter], a [RateCollector] and a [RateHolder]. Zero
// values take the defaults named here.
type RateSettings struct {
	// Self is this node's ID.
	Self string
	// Period is the interval between two summaries to a holder (1 s).
	Period time.Duration
	// GrantFor is how long a share is valid without renewal (5 s). After that the node
	// may use only its reserve.
	GrantFor time.Duration
	// BurstFor is the depth of the token bucket, as time at the allowed rate (1 s). The
	// bucket holds at least one request.
	BurstFor time.Duration
	// Reserve is the fraction of each limit that is split evenly over all nodes and not
	// divided by demand: what a node without a grant may use (0.1).
	Reserve float64
	// Idle is how long an organisation's demand is reported after its last request (10
	// s).
	Idle time.Duration
	// Direct is the largest failure domain, in entry nodes, whose nodes send to the
	// holders directly (8). The nodes of larger domains send to a collector.
	Direct int
	// CollectPeriod is the interval between two summaries to a collector (2 s).
	CollectPeriod time.Duration
	// SumPeriod is the interval at which a collector renews an organisation's share while
	// its demand hardly changes (3 s). It is below GrantFor by enough time for one lost
	// message.
	SumPeriod time.Duration
}

const (
	defaultRatePeriod  = time.Second
	defaultGrantFor    = 5 * time.Second
	defaultBurstFor    = time.Second
	defaultRateReserve = 0.1
	defaultRateIdle    = 10 * time.Second

	defaultDirect        = 8
	defaultCollectPeriod = 2 * time.Second
	defaultSumPeriod     = 3 * time.Second
)

func (s RateSettings) withDefaults() RateSettings {
	defaultDuration(&s.Period, defaultRatePeriod)
	defaultDuration(&s.GrantFor, defaultGrantFor)
	defaultDuration(&s.BurstFor, defaultBurstFor)
	defaultFloat(&s.Reserve, defaultRateReserve)
	defaultDuration(&s.Idle, defaultRateIdle)
	if s.Direct == 0 {
		s.Direct = defaultDirect
	}
	defaultDuration(&s.CollectPeriod, defaultCollectPeriod)
	defaultDuration(&s.SumPeriod, defaultSumPeriod)
	return s
}
