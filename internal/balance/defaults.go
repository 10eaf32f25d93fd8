package balance

import "time"

const (
	defaultSubsetSize     = 64
	defaultMinPerVersion  = 4
	defaultPollsPerSecond = 4
	defaultMaxReportAge   = 10 * time.Second
	defaultSlowStart      = 10 * time.Second
)

func (s Settings) withDefaults() Settings {
	orInt(&s.SubsetSize, defaultSubsetSize)
	orInt(&s.MinPerVersion, defaultMinPerVersion)
	orFloat(&s.PollsPerSecond, defaultPollsPerSecond)
	orDuration(&s.MaxReportAge, defaultMaxReportAge)
	orDuration(&s.SlowStart, defaultSlowStart)
	if s.Policy == "" {
		s.Policy = PolicyAffinity
	}
	s.Breaker = s.Breaker.withDefaults()
	s.Outlier = s.Outlier.withDefaults()
	return s
}

func (s BreakerSettings) withDefaults() BreakerSettings {
	orInt(&s.Failures, 3)
	orDuration(&s.OpenFor, time.Second)
	orDuration(&s.MaxOpenFor, 30*time.Second)
	return s
}

func (s OutlierSettings) withDefaults() OutlierSettings {
	orFloat(&s.Ratio, 3)
	orInt(&s.MinSamples, 8)
	orFloat(&s.MaxShare, 0.3)
	orDuration(&s.EjectFor, 10*time.Second)
	orDuration(&s.MaxEjectFor, 2*time.Minute)
	return s
}

func orInt(v *int, otherwise int) {
	if *v == 0 {
		*v = otherwise
	}
}

func orFloat(v *float64, otherwise float64) {
	if *v == 0 {
		*v = otherwise
	}
}

func orDuration(v *time.Duration, otherwise time.Duration) {
	if *v == 0 {
		*v = otherwise
	}
}
