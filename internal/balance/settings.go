package balance

import "time"

// Settings configures a [Balancer]. Zero values take the defaults named here.
type Settings struct {
	// Seed varies what must differ between nodes, such as probe times.
	Seed uint64
	// SelfID is the ID of this node's VM, and SelfDomain its failure domain.
	SelfID     string
	SelfDomain string
	// SubsetSize is how many engines the node sends to (64).
	SubsetSize int
	// MinPerVersion is how many upstreams of each wanted version the node looks for, if
	// necessary outside the subset (4).
	MinPerVersion int
	// Policy is the algorithm for choosing upstreams ([PolicyAffinity]).
	Policy PolicyName
	// PollsPerSecond bounds the polls for load reports (4).
	PollsPerSecond float64
	// MaxReportAge is the age from which a load report is ignored (10 s).
	MaxReportAge time.Duration
	// Breaker, Outlier and SlowStart (10 s) handle failing, slow and new upstreams.
	Breaker   BreakerSettings
	Outlier   OutlierSettings
	SlowStart time.Duration
}

// BreakerSettings configures the circuit breaker of each upstream.
type BreakerSettings struct {
	// Failures is how many consecutive failures open the breaker (3).
	Failures int
	// OpenFor is the first pause before a probe (1 s); it doubles with each failed probe
	// up to MaxOpenFor (30 s).
	OpenFor    time.Duration
	MaxOpenFor time.Duration
}

// OutlierSettings configures the detection of upstreams that are slow or fail some
// requests.
type OutlierSettings struct {
	// Ratio is how many times slower than the typical times of its pool an outlier is
	// (3).
	Ratio float64
	// MinSamples is how many samples are needed before an upstream can be ejected as slow
	// (8).
	MinSamples int
	// MaxShare bounds the share of a pool that may be ejected (0.3).
	MaxShare float64
	// EjectFor is the duration of the first ejection (10 s); it doubles with each one up
	// to MaxEjectFor (2 min).
	EjectFor    time.Duration
	MaxEjectFor time.Duration
}
