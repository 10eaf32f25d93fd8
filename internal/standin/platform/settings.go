package platform

import (
	"errors"
	"math"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
	"github.com/hickorybank/hickorybank/internal/standin/platform/vmlist"
)

const (
	// DefaultWritesPerSecond is the write limit of the platform that the stand-in
	// replaces.
	DefaultWritesPerSecond = 500
	// DefaultReadsPerSecond is the read limit of the platform that the stand-in
	// replaces.
	DefaultReadsPerSecond = 2000
)

// Settings configures the ports and the behaviour of the stand-in platform.
type Settings struct {
	// Listen is the host and port of the platform's interface. Port 0 selects a free
	// port.
	Listen string
	// FaultListen is the host and port of the fault port. Empty means no fault port.
	FaultListen string
	// Settings are the limits and the behaviour of the platform.
	memory.Settings
}

// Validate returns an error that lists every invalid setting with its value and the
// accepted range.
func (s Settings) Validate() error {
	var problems []error
	check := func(ok bool, field string, value any, accepted string) {
		if !ok {
			problems = append(problems, eris.Errorf("%s: %v; accepted is %s", field, value, accepted))
		}
	}
	check(s.Listen != "", "Listen", `""`, "host:port")
	check(nonNegative(s.WritesPerSecond), "WritesPerSecond", s.WritesPerSecond, "0 or more")
	check(nonNegative(s.ReadsPerSecond), "ReadsPerSecond", s.ReadsPerSecond, "0 or more")
	check(s.VMListLag >= 0 && s.VMListLag <= vmlist.MaxLag, "VMListLag", s.VMListLag, "0 to "+vmlist.MaxLag.String())
	check(nonNegative(s.RatingNoise), "RatingNoise", s.RatingNoise, "0 or more")
	check(s.DefaultQuality >= 0 && s.DefaultQuality <= 1, "DefaultQuality", s.DefaultQuality, "0 to 1")
	check(s.WeightBytes >= 0, "WeightBytes", s.WeightBytes, "0 or more")
	check(s.WeightBytesPerSecond >= 0, "WeightBytesPerSecond", s.WeightBytesPerSecond, "0 or more")
	return errors.Join(problems...)
}

// nonNegative reports whether f is 0 or more. It is false for NaN and infinity.
func nonNegative(f float64) bool { return f >= 0 && f <= math.MaxFloat32 }
