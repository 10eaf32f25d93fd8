package engine

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/standin/engine/model"
)

const (
	// DefaultPrefixCacheEntries is the default of Settings.PrefixCacheEntries.
	DefaultPrefixCacheEntries = 64
	// DefaultResumeGrace is the default of Settings.ResumeGrace.
	DefaultResumeGrace = 30 * time.Second

	// queuePerBatch is the queue limit as a multiple of the batch limit.
	queuePerBatch = 16
	// cacheEventDelay is the time from a cache event to its publication.
	cacheEventDelay = 250 * time.Millisecond
	// cacheEventGaps is how many of 1,000 cache events are never published.
	cacheEventGaps = 20
)

// Settings configures one stand-in engine.
type Settings struct {
	// ID identifies the engine in events and KV transfers.
	ID string
	// Listen is the IP and port for requests. Port 0 selects a free port.
	Listen string
	// FaultListen is the IP and port of the fault port. Empty means no fault port.
	FaultListen string
	// FailureDomain is the engine's failure domain.
	FailureDomain string
	// Versions are loaded at the start and after each restart.
	Versions []string
	// BatchLimit is the maximum number of requests in the batch; at least 1.
	BatchLimit int
	// TimeToFirstToken is the prefill time of a prompt that is not cached.
	TimeToFirstToken time.Duration
	// TokenGap is the time of a step with one decoding request.
	TokenGap time.Duration
	// TokensPerAnswer is the number of chunks of an answer, unless the request asks for
	// fewer; at least 1.
	TokensPerAnswer int
	// HonourFence makes the engine refuse orders with an old fencing token.
	HonourFence bool
	// LoadLag is the age of a load report.
	LoadLag time.Duration
	// PrefixCacheEntries is the maximum number of cached prefixes; 0 means
	// [DefaultPrefixCacheEntries].
	PrefixCacheEntries int
	// ResumeGrace is how long a generation runs without a reader, and how long its
	// stream is kept after its end; 0 means [DefaultResumeGrace].
	ResumeGrace time.Duration
	// WeightsURL is the platform's base URL for downloads of weights. Empty means that
	// versions load without a download.
	WeightsURL string
	// Seed seeds the random failures of versions and the gaps in cache events.
	Seed uint64
}

// Validate returns an error for the first invalid setting.
func (s Settings) Validate() error {
	switch {
	case s.Listen == "":
		return eris.New("engine: Listen is empty")
	case s.BatchLimit < 1:
		return eris.Errorf("engine: BatchLimit is %d, below 1", s.BatchLimit)
	case s.TokensPerAnswer < 1:
		return eris.Errorf("engine: TokensPerAnswer is %d, below 1", s.TokensPerAnswer)
	case s.TimeToFirstToken < 0, s.TokenGap < 0, s.LoadLag < 0, s.ResumeGrace < 0:
		return eris.Errorf("engine: TimeToFirstToken %s, TokenGap %s, LoadLag %s or ResumeGrace %s is negative",
			s.TimeToFirstToken, s.TokenGap, s.LoadLag, s.ResumeGrace)
	case s.PrefixCacheEntries < 0:
		return eris.Errorf("engine: PrefixCacheEntries is %d, negative", s.PrefixCacheEntries)
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

// model returns the configuration of the simulated engine.
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
