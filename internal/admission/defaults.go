package admission

import "time"

const (
	defaultMaxQueued       = 512
	defaultMaxQueuedPerOrg = 128
	defaultImmediateFloor  = 0.2
	defaultDeferrableShare = 0.1
	defaultImmediateWait   = 500 * time.Millisecond
	defaultHeavyWait       = 2 * time.Second
	defaultDeferrableWait  = 6 * time.Second
	defaultInitialLimit    = 32
	defaultMinLimit        = 4
	defaultMaxLimit        = 4096
	defaultTolerance       = 2
	defaultWindow          = 30 * time.Second
)

func (s Settings) withDefaults() Settings {
	defaultInt(&s.MaxQueued, defaultMaxQueued)
	defaultInt(&s.MaxQueuedPerOrganisation, defaultMaxQueuedPerOrg)
	defaultFloat(&s.ImmediateFloor, defaultImmediateFloor)
	defaultFloat(&s.DeferrableShare, defaultDeferrableShare)
	defaultDuration(&s.MaxWait.Immediate, defaultImmediateWait)
	defaultDuration(&s.MaxWait.Heavy, defaultHeavyWait)
	defaultDuration(&s.MaxWait.Deferrable, defaultDeferrableWait)
	s.Limit = s.Limit.withDefaults()
	return s
}

func (s LimitSettings) withDefaults() LimitSettings {
	defaultInt(&s.Initial, defaultInitialLimit)
	defaultInt(&s.Min, defaultMinLimit)
	defaultInt(&s.Max, defaultMaxLimit)
	defaultFloat(&s.Tolerance, defaultTolerance)
	defaultDuration(&s.Window, defaultWindow)
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
