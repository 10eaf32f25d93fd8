package load

import "time"

// Settings configures a run.
type Settings struct {
	// Run is a unique name of the run; it makes the prompts differ from those of other
	// runs.
	Run      string
	Mix      *Mix
	Arrivals Arrivals
	// PerSecond is the request rate of all lanes together.
	PerSecond float64
	// Duration is the time from the beginning to the end of sending, warm-up included.
	Duration time.Duration
	// WarmUp is the time at the beginning whose requests are not measured. Their
	// answers are still checked.
	WarmUp time.Duration
	Seed   uint64
	// MaxInFlight limits the number of running requests. A request beyond it is not
	// delayed but counted as not sent.
	MaxInFlight int
}

// DefaultMaxInFlight suffices for 1,000 requests per second that take several seconds
// each.
const DefaultMaxInFlight = 8192

// isMeasured reports whether a time lies between the end of the warm-up and the end of
// sending.
func (s Settings) isMeasured(at time.Duration) bool { return at >= s.WarmUp && at < s.Duration }
