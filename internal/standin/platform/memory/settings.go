package memory

import (
	"context"
	"time"
)

// Settings are the limits and the manners of the platform. The zero value has
// no limits, no lag, no noise, and the real clock.
type Settings struct {
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
	// [DefaultQuality].
	DefaultQuality float64
	// WeightBytes is the size of one version's weights; 0 means
	// [DefaultWeightBytes].
	WeightBytes int64
	// WeightBytesPerSecond bounds all weight downloads together; 0 means no
	// bound.
	WeightBytesPerSecond int64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Wait waits until the time has passed or the context is done, and returns
	// the context's error then; nil means a timer.
	Wait func(ctx context.Context, d time.Duration) error
}

// Values of settings that are left at zero.
const (
	DefaultQuality     = 0.8
	DefaultWeightBytes = 64 << 20
)

// Option changes the settings of a new Platform.
type Option func(*Settings)

// WithSettings replaces all settings.
func WithSettings(s Settings) Option {
	return func(to *Settings) { *to = s }
}

// WithSeed sets the seed.
func WithSeed(seed uint64) Option {
	return func(s *Settings) { s.Seed = seed }
}

// WithClock sets the clock and how to wait on it.
func WithClock(now func() time.Time, wait func(context.Context, time.Duration) error) Option {
	return func(s *Settings) { s.Now, s.Wait = now, wait }
}

func (s Settings) withDefaults() Settings {
	if s.DefaultQuality == 0 {
		s.DefaultQuality = DefaultQuality
	}
	if s.WeightBytes == 0 {
		s.WeightBytes = DefaultWeightBytes
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.Wait == nil {
		s.Wait = waitTimer
	}
	return s
}

func waitTimer(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
