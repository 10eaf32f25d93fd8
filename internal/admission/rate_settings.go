package admission

import "time"

// RateSettings configure a [RateLimiter] and a [RateHolder]. Zero values take
// the defaults named here.
type RateSettings struct {
	Self string
	// Period is the gap between two summaries to a holder (1 s).
	Period time.Duration
	// GrantFor is how long a share counts without renewal (5 s). After it the
	// node falls back to its reserve.
	GrantFor time.Duration
	// BurstFor is the bucket's depth, as time at the share's rate (1 s); it
	// holds one request at least.
	BurstFor time.Duration
	// Reserve is the part of each limit that is split evenly over all nodes
	// and never re-divided: what a node without a grant may use (0.1).
	Reserve float64
	// Idle is how long an organisation's demand is reported after its last
	// request (10 s).
	Idle time.Duration
	// Direct is how many nodes a failure domain may have whose nodes still
	// ask the holders by themselves (8); with more they ask through a
	// collector.
	Direct int
	// CollectPeriod is the gap between two summaries to a collector (2 s).
	CollectPeriod time.Duration
	// SumPeriod is after how long a collector renews an organisation's share
	// whose demand hardly changes (3 s). It is below GrantFor by a lost message.
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
	orDuration(&s.Period, defaultRatePeriod)
	orDuration(&s.GrantFor, defaultGrantFor)
	orDuration(&s.BurstFor, defaultBurstFor)
	orFloat(&s.Reserve, defaultRateReserve)
	orDuration(&s.Idle, defaultRateIdle)
	if s.Direct == 0 {
		s.Direct = defaultDirect
	}
	orDuration(&s.CollectPeriod, defaultCollectPeriod)
	orDuration(&s.SumPeriod, defaultSumPeriod)
	return s
}
