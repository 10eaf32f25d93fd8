package balance

import "time"

// Settings configure a [Balancer]. Zero values take the defaults named here.
type Settings struct {
	// Seed spreads what must differ from node to node, such as probe times.
	Seed uint64
	// SelfID is this node's VM; SelfDomain its failure domain.
	SelfID     string
	SelfDomain string
	// SubsetSize is how many upstreams the node deals with (64).
	SubsetSize int
	// MinPerVersion is how many upstreams of each version the node looks for
	// beyond the subset, as far as there are any (4).
	MinPerVersion int
	// Policy is the way upstreams are chosen ([PolicyAffinity]).
	Policy PolicyName
	// PollsPerSecond bounds the load reports asked for (4).
	PollsPerSecond float64
	// MaxReportAge is the age from which a load report counts for nothing (10 s).
	MaxReportAge time.Duration
	// Breaker, Outlier and SlowStart guard against failing, slow and new upstreams.
	Breaker   BreakerSettings
	Outlier   OutlierSettings
	SlowStart time.Duration
}

// BreakerSettings configure the breaker of each upstream.
type BreakerSettings struct {
	// Failures in a row open the breaker (3).
	Failures int
	// OpenFor is the first pause before a probe (1 s); it doubles with each
	// failed probe up to MaxOpenFor (30 s).
	OpenFor    time.Duration
	MaxOpenFor time.Duration
}

// OutlierSettings configure the detection of an upstream that is slow but alive.
type OutlierSettings struct {
	// Ratio is how many times slower than the median of its pool (3).
	Ratio float64
	// MinSamples are needed before an upstream is judged (8).
	MinSamples int
	// MaxShare bounds the part of a pool that may be ejected (0.3).
	MaxShare float64
	// EjectFor is the first ejection (10 s); it doubles up to MaxEjectFor (2 min).
	EjectFor    time.Duration
	MaxEjectFor time.Duration
}
