package platform

import (
	"errors"
	"math"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
	"github.com/hickorybank/hickorybank/internal/standin/platform/vmlist"
)

// Limits of the platforms that the stand-in takes the place of.
const (
	DefaultWritesPerSecond = 500
	DefaultReadsPerSecond  = 2000
)

// Settings are where the stand-in listens and how it behaves.
type Settings struct {
	// Listen is the host and port of the platform's interface; port 0 takes a
	// free one.
	Listen string
	// FaultListen is the host and port of the fault interface; empty means
	// none.
	FaultListen string
	// Settings are the platform's limits and manners.
	memory.Settings
}

// Validate names every impossible setting.
func (s Settings) Validate() error {
	var wrong []error
	check := func(ok bool, field string, value any, accepted string) {
		if !ok {
			wrong = append(wrong, eris.Errorf("%s: %v; accepted is %s", field, value, accepted))
		}
	}
	check(s.Listen != "", "Listen", `""`, "host:port")
	check(positive(s.WritesPerSecond), "WritesPerSecond", s.WritesPerSecond, "0 or more")
	check(positive(s.ReadsPerSecond), "ReadsPerSecond", s.ReadsPerSecond, "0 or more")
	check(s.VMListLag >= 0 && s.VMListLag <= vmlist.MaxLag, "VMListLag", s.VMListLag, "0 to "+vmlist.MaxLag.String())
	check(positive(s.RatingNoise), "RatingNoise", s.RatingNoise, "0 or more")
	check(s.DefaultQuality >= 0 && s.DefaultQuality <= 1, "DefaultQuality", s.DefaultQuality, "0 to 1")
	check(s.WeightBytes >= 0, "WeightBytes", s.WeightBytes, "0 or more")
	check(s.WeightBytesPerSecond >= 0, "WeightBytesPerSecond", s.WeightBytesPerSecond, "0 or more")
	return errors.Join(wrong...)
}

// positive is false for NaN and for infinity.
func positive(f float64) bool { return f >= 0 && f <= math.MaxFloat32 }
