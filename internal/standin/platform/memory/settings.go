package memory

import (
	"context"
	"time"
)

// Settings configures the limits and the behaviour of a Platform. The zero value has
// no limits, no lag, no noise, and the real clock.
type Settings struct {
	// WritesPerSecond bounds table commits and object puts together; 0 means no
	// limit.
	WritesPerSecond float64
	// ReadsPerSecond bounds table and object reads together; 0 means no limit.
	ReadsPerSecond float64
	// VMListLag is the age of the VM list that reads return.
	VMListLag time.Duration
	// Seed seeds the noise of the rating and the random faults.
	Seed uint64
	// RatingNoise is the standard deviation of scores before clamping to [0,1].
	RatingNoise float64
	// DefaultQuality is the quality of versions without a setting; 0 means
	// [DefaultQuality].
	DefaultQuality float64
	// WeightBytes is the size of one version's weights, in bytes; 0 means
	// [DefaultWeightBytes].
	WeightBytes int64
	// WeightBytesPerSecond bounds all weight downloads together; 0 means no limit.
	WeightBytesPerSecond int64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Wait blocks until d has passed, or returns the context's error once ctx is done.
	// Nil means a timer.
	Wait func(ctx context.Context, d time.Duration) error
}

// Defaults of settings that are zero.
const (
	// DefaultQuality is the default of Settings.DefaultQuality.
	DefaultQuality = 0.8
	// DefaultWeightBytes is the default of Settings.WeightBytes.
	DefaultWeightBytes = 64 << 20
)

// Option changes the settings of a Platform that New creates.
type Option func(*Settings)

// WithSettings replaces all settings, including those of earlier options.
func WithSettings(s Settings) Option {
	return func(to *Settings) { *to = s }
}

// WithSeed sets [Settings.Seed].
func WithSeed(seed uint64) Option {
	return func(s *Settings) { s.Seed = seed }
}

// WithClock sets [Settings.Now] and [Settings.Wait].
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

// waitTimer implements Settings.Wait with a timer.
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
