package model

import (
	"time"

	"github.com/rotisserie/eris"
)

const (
	// PrefillWeight is how many token-producing requests one prompt that is
	// being read slows a step down by.
	PrefillWeight = 4
	// CachedPrefillDivisor is how many times faster a prompt is read whose
	// prefix is cached.
	CachedPrefillDivisor = 4
	// SlopeDivisor is the part of a lone request's step that each request of
	// the batch adds: 1/32.
	SlopeDivisor = 32
	// MinStep is the shortest step of a lone request.
	MinStep = time.Microsecond
)

// Config configures one engine.
type Config struct {
	// BatchLimit is how many requests share a step.
	BatchLimit int
	// QueueLimit is how many requests wait for the batch; 0 is no limit.
	QueueLimit int
	// StepBase and StepSlope make up the time of a step.
	StepBase  time.Duration
	StepSlope time.Duration
	// CacheEntries bounds the prefix cache; 0 is no cache.
	CacheEntries int
	// LoadLag is how old a load report is.
	LoadLag time.Duration
	// CacheEventDelay is how late cache events are published.
	CacheEventDelay time.Duration
	// CacheEventGaps is how many of a thousand cache events are never
	// published.
	CacheEventGaps int
	// EveryToken asks for an event for each token, not only for the first
	// and the last one. It costs a visit of the whole batch a step.
	EveryToken bool
	Seed       uint64
}

// Steps returns the base and the slope of steps that take gap for a lone
// request that produces tokens.
func Steps(gap time.Duration) (base, slope time.Duration) {
	gap = max(gap, MinStep)
	slope = gap / SlopeDivisor
	return gap - slope, slope
}

// Validate reports the first setting that cannot be used.
func (c Config) Validate() error {
	switch {
	case c.BatchLimit < 1:
		return eris.New("model: BatchLimit is below 1")
	case c.StepBase < 1:
		return eris.New("model: StepBase is below 1 ns")
	case c.QueueLimit < 0, c.StepSlope < 0, c.CacheEntries < 0, c.LoadLag < 0, c.CacheEventDelay < 0:
		return eris.New("model: a setting is negative")
	case c.CacheEventGaps < 0 || c.CacheEventGaps > perMille:
		return eris.New("model: CacheEventGaps is no part of a thousand")
	}
	return nil
}
