package load

import "time"

// Settings are what a run is made of.
type Settings struct {
	// Run names the run; its prompts are unlike those of any other.
	Run      string
	Mix      *Mix
	Arrivals Arrivals
	// PerSecond is the rate of all lanes together.
	PerSecond float64
	// Duration is from the first to the last start, warm-up included.
	Duration time.Duration
	// WarmUp is the part at the beginning that stays out of the figures;
	// answers are checked all the same.
	WarmUp time.Duration
	Seed   uint64
	// MaxInFlight bounds the requests that run at a time. One beyond it is
	// counted as not sent, never delayed in silence.
	MaxInFlight int
}

// DefaultMaxInFlight is ample for a thousand requests a second of some seconds
// each.
const DefaultMaxInFlight = 8192

// measures says whether a moment is after the warm-up and before the end of
// sending.
func (s Settings) measures(at time.Duration) bool { return at >= s.WarmUp && at < s.Duration }
