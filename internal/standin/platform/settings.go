package platform

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
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
	// WritesPerSecond bounds table commits and object puts together; 0 means
	// no bound.
	WritesPerSecond float64
	// ReadsPerSecond bounds table and object reads together; 0 means no bound.
	ReadsPerSecond float64
	// VMListLag is how old the VM list's answers are.
	VMListLag time.Duration
	// Seed decides the rating's noise and the faults given by fractions.
	Seed uint64
	// RatingNoise is the standard deviation of a rating.
	RatingNoise float64
	// DefaultQuality is the quality of versions that were given none; 0 means
	// memory.DefaultQuality.
	DefaultQuality float64
	// WeightBytes is the size of one version's weights; 0 means
	// memory.DefaultWeightBytes.
	WeightBytes int64
	// WeightBytesPerSecond bounds all weight downloads together; 0 means no
	// bound.
	WeightBytesPerSecond int64
}

func (s Settings) state() memory.Settings {
	return memory.Settings{
		WritesPerSecond:      s.WritesPerSecond,
		ReadsPerSecond:       s.ReadsPerSecond,
		VMListLag:            s.VMListLag,
		Seed:                 s.Seed,
		RatingNoise:          s.RatingNoise,
		DefaultQuality:       s.DefaultQuality,
		WeightBytes:          s.WeightBytes,
		WeightBytesPerSecond: s.WeightBytesPerSecond,
	}
}
