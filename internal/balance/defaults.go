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
	defaultInt(&s.SubsetSize, defaultSubsetSize)
	defaultInt(&s.MinPerVersion, defaultMinPerVersion)
	defaultFloat(&s.PollsPerSecond, defaultPollsPerSecond)
	defaultDuration(&s.MaxReportAge, defaultMaxReportAge)
	defaultDuration(&s.SlowStart, defaultSlowStart)
	if s.Policy == "" {
		s.Policy = PolicyAffinity
	}
	s.Breaker = s.Breaker.withDefaults()
	s.Outlier = s.Outlier.withDefaults()
	return s
}

func (s BreakerSettings) withDefaults() BreakerSettings {
	defaultInt(&s.Failures, 3)
	defaultDuration(&s.OpenFor, time.Second)
	defaultDuration(&s.MaxOpenFor, 30*time.Second)
	return s
}

func (s OutlierSettings) withDefaults() OutlierSettings {
	defaultFloat(&s.Ratio, 3)
	defaultInt(&s.MinSamples, 8)
	defaultFloat(&s.MaxShare, 0.3)
	defaultDuration(&s.EjectFor, 10*time.Second)
	defaultDuration(&s.MaxEjectFor, 2*time.Minute)
	return s
}

func defaultInt(v *int, fallback int) {
	if *v == 0 {
		*v = fallback
	}
}

func defaultFloat(v *float64, fallback float64) {
	if *v == 0 {
		*v = fallback
	}
}

func defaultDuration(v *time.Duration, fallback time.Duration) {
	if *v == 0 {
		*v = fallback
	}
}
