package engine

import (
	"time"

	"github.com/rotisserie/eris"
)

// Settings configures one stand-in engine.
type Settings struct {
	ID string
	// Listen is the IP and port for requests; port 0 takes a free one.
	Listen string
	// FaultListen is the IP and port of the fault port; empty means none.
	FaultListen   string
	FailureDomain string
	// Versions are loaded at the start.
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
	// PrefixCacheEntries bounds the prefix cache.
	PrefixCacheEntries int
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
	case s.TimeToFirstToken < 0, s.TokenGap < 0, s.LoadLag < 0:
		return eris.New("engine: a duration is negative")
	case s.PrefixCacheEntries < 0:
		return eris.New("engine: PrefixCacheEntries is negative")
	}
	return nil
}
