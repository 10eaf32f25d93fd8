package engine

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/standin/engine/model"
)

const (
	// DefaultPrefixCacheEntries is the cache's size when settings name none.
	DefaultPrefixCacheEntries = 64
	// DefaultResumeGrace is how long a stream is kept when settings name none.
	DefaultResumeGrace = 30 * time.Second

	// queuePerBatch is how many times the batch limit may wait for the batch.
	queuePerBatch = 16
	// cacheEventDelay is how late cache events are published.
	cacheEventDelay = 250 * time.Millisecond
	// cacheEventGaps is how many of a thousand cache events are lost.
	cacheEventGaps = 20
)

// Settings configures one stand-in engine.
type Settings struct {
	ID string
	// Listen is the IP and port for requests; port 0 takes a free one.
	Listen string
	// FaultListen is the IP and port of the fault port; empty means none.
	FaultListen   string
	FailureDomain string
	// Versions are loaded at the start, and again after a crash.
	Versions []string
	// BatchLimit is how many requests share a step.
	BatchLimit int
	// TimeToFirstToken is the prefill time of a prompt that is not cached.
	TimeToFirstToken time.Duration
	// TokenGap is the time of a step with one request.
	TokenGap time.Duration
	// TokensPerAnswer is how many pieces an answer has, unless the request
	// asks for fewer.
	TokensPerAnswer int
	// HonourFence makes the engine refuse orders with an old fencing number.
	HonourFence bool
	// LoadLag is how old a load report is when it is given out.
	LoadLag time.Duration
	// PrefixCacheEntries bounds the prefix cache; 0 means
	// [DefaultPrefixCacheEntries].
	PrefixCacheEntries int
	// ResumeGrace is how long a generation goes on without a reader, and how
	// long its stream is kept after its end; 0 means [DefaultResumeGrace].
	ResumeGrace time.Duration
	// WeightsURL is the platform's base URL for paced downloads of weights;
	// empty means that a load takes no time.
	WeightsURL string
	Seed       uint64
}

// Validate reports the first setting that cannot be used.
func (s Settings) Validate() error {
	switch {
	case s.Listen == "":
		return eris.New("engine: Listen is empty")
	case s.BatchLimit < 1:
		return eris.New("engine: BatchLimit is below 1")
	case s.TokensPerAnswer < 1:
		return eris.New("engine: TokensPerAnswer is below 1")
	case s.TimeToFirstToken < 0, s.TokenGap < 0, s.LoadLag < 0, s.ResumeGrace < 0:
		return eris.New("engine: a duration is negative")
	case s.PrefixCacheEntries < 0:
		return eris.New("engine: PrefixCacheEntries is negative")
	}
	return nil
}

func (s Settings) withDefaults() Settings {
	if s.PrefixCacheEntries == 0 {
		s.PrefixCacheEntries = DefaultPrefixCacheEntries
	}
	if s.ResumeGrace == 0 {
		s.ResumeGrace = DefaultResumeGrace
	}
	return s
}

// model returns the configuration of the engine's core.
func (s Settings) model(lag time.Duration) model.Config {
	base, slope := model.Steps(s.TokenGap)
	return model.Config{
		BatchLimit:      s.BatchLimit,
		QueueLimit:      queuePerBatch * s.BatchLimit,
		StepBase:        base,
		StepSlope:       slope,
		CacheEntries:    s.PrefixCacheEntries,
		LoadLag:         lag,
		CacheEventDelay: cacheEventDelay,
		CacheEventGaps:  cacheEventGaps,
		EveryToken:      true,
		Seed:            s.Seed,
	}
}
