package admission

import "time"

// RateSettings configures a [RateLimiter], a [RateCollector] and a [RateHolder]. Zero
// values take the defaults named here.
type RateSettings struct {
	// Self is this node's ID.
	Self string
	// Period is the interval between two summaries to a holder (1 s).
	Period time.Duration
	// GrantDuration is how long a share is valid without renewal (5 s). After that the node
	// may use only its reserve.
	GrantDuration time.Duration
	// BurstDuration is the depth of the token bucket, as time at the allowed rate (1 s). The
	// bucket holds at least one request.
	BurstDuration time.Duration
	// Reserve is the fraction of each limit that is split evenly over all nodes and not
	// divided by demand: what a node without a grant may use (0.1).
	Reserve float64
	// ReportIdle is how long an organisation's demand is reported after its last request
	// (10 s).
	ReportIdle time.Duration
	// MaxDirectNodes is the largest size of a failure domain, in entry nodes, at which
	// they send to the holders directly (8). The nodes of larger domains send to a
	// collector.
	MaxDirectNodes int
	// CollectorPeriod is the interval between two summaries to a collector (2 s).
	CollectorPeriod time.Duration
	// RenewPeriod is the interval at which a collector renews an organisation's share
	// while its demand hardly changes (3 s). It is shorter than GrantDuration by enough
	// time for one lost message.
	RenewPeriod time.Duration
}

const (
	defaultRatePeriod    = time.Second
	defaultGrantDuration = 5 * time.Second
	defaultBurstDuration = time.Second
	defaultRateReserve   = 0.1
	defaultReportIdle    = 10 * time.Second

	defaultMaxDirectNodes  = 8
	defaultCollectorPeriod = 2 * time.Second
	defaultRenewPeriod     = 3 * time.Second
)

func (s RateSettings) withDefaults() RateSettings {
	defaultDuration(&s.Period, defaultRatePeriod)
	defaultDuration(&s.GrantDuration, defaultGrantDuration)
	defaultDuration(&s.BurstDuration, defaultBurstDuration)
	defaultFloat(&s.Reserve, defaultRateReserve)
	defaultDuration(&s.ReportIdle, defaultReportIdle)
	if s.MaxDirectNodes == 0 {
		s.MaxDirectNodes = defaultMaxDirectNodes
	}
	defaultDuration(&s.CollectorPeriod, defaultCollectorPeriod)
	defaultDuration(&s.RenewPeriod, defaultRenewPeriod)
	return s
}
