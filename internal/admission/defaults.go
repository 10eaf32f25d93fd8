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
	orInt(&s.MaxQueued, defaultMaxQueued)
	orInt(&s.MaxQueuedPerOrganisation, defaultMaxQueuedPerOrg)
	orFloat(&s.ImmediateFloor, defaultImmediateFloor)
	orFloat(&s.DeferrableShare, defaultDeferrableShare)
	orDuration(&s.MaxWait.Immediate, defaultImmediateWait)
	orDuration(&s.MaxWait.Heavy, defaultHeavyWait)
	orDuration(&s.MaxWait.Deferrable, defaultDeferrableWait)
	s.Limit = s.Limit.withDefaults()
	return s
}

func (s LimitSettings) withDefaults() LimitSettings {
	orInt(&s.Initial, defaultInitialLimit)
	orInt(&s.Min, defaultMinLimit)
	orInt(&s.Max, defaultMaxLimit)
	orFloat(&s.Tolerance, defaultTolerance)
	orDuration(&s.Window, defaultWindow)
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
