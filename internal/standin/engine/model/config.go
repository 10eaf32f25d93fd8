package model

import (
	"time"

	"github.com/rotisserie/eris"
)

const (
	// PrefillWeight is the weight of a request in prefill. A decoding request has
	// weight 1.
	PrefillWeight = 4
	// CachedPrefillDivisor is how many times faster the prefill of a prompt is when its
	// prefix is cached.
	CachedPrefillDivisor = 4
	// SlopeDivisor makes each decoding request in the batch add 1/32 of the step time of
	// a single request.
	SlopeDivisor = 32
	// MinStep is the shortest step of a single request.
	MinStep = time.Microsecond
)

// Config configures one engine.
type Config struct {
	// BatchLimit is the maximum number of requests in the batch; at least 1.
	BatchLimit int
	// QueueLimit is the maximum number of queued requests; 0 means no limit.
	QueueLimit int
	// StepBase is the part of a step's time that does not depend on the batch; at least
	// 1 ns.
	StepBase time.Duration
	// StepSlope is the time that each unit of weight in the batch adds to a step.
	StepSlope time.Duration
	// CacheEntries is the maximum number of cached prefixes; 0 means no cache.
	CacheEntries int
	// LoadLag is the age of a load report.
	LoadLag time.Duration
	// CacheEventDelay is the time from a cache event to its publication.
	CacheEventDelay time.Duration
	// CacheEventGaps is how many of 1,000 cache events are never published.
	CacheEventGaps int
	// EveryToken requests an event for every token, not only for the first and the last
	// one. Each step then visits the whole batch.
	EveryToken bool
	// Seed selects the cache events that are never published.
	Seed uint64
}

// Steps returns the StepBase and StepSlope with which a step takes gap when the batch is
// a single decoding request. A gap below [MinStep] counts as MinStep.
func Steps(gap time.Duration) (base, slope time.Duration) {
	gap = max(gap, MinStep)
	slope = gap / SlopeDivisor
	return gap - slope, slope
}

// Validate returns an error for the first invalid setting.
func (c Config) Validate() error {
	switch {
	case c.BatchLimit < 1:
		return eris.Errorf("model: BatchLimit is %d, below 1", c.BatchLimit)
	case c.StepBase < 1:
		return eris.Errorf("model: StepBase is %s, below 1 ns", c.StepBase)
	case c.QueueLimit < 0, c.StepSlope < 0, c.CacheEntries < 0, c.LoadLag < 0, c.CacheEventDelay < 0:
		return eris.Errorf("model: QueueLimit %d, StepSlope %s, CacheEntries %d, LoadLag %s or CacheEventDelay %s is negative",
			c.QueueLimit, c.StepSlope, c.CacheEntries, c.LoadLag, c.CacheEventDelay)
	case c.CacheEventGaps < 0 || c.CacheEventGaps > perMille:
		return eris.Errorf("model: CacheEventGaps is %d, not 0 to %d", c.CacheEventGaps, perMille)
	}
	return nil
}
