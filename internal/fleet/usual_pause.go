package fleet

import "time"

// usualPauses holds the usual pause between events by group of attempts, for the services whose
// upstreams report their machines.
type usualPauses struct {
	tracked map[string]bool
	pauses  map[workloadKey]*usualPause
}

// usualPause is a running median, so that slow upstreams do not count as usual.
type usualPause struct {
	seconds float64
	count   int
}

// track begins to observe a service's upstreams; it reports whether they were not observed
// before.
func (u *usualPauses) track(service string) bool {
	if u.tracked[service] {
		return false
	}
	if u.tracked == nil {
		u.tracked, u.pauses = map[string]bool{}, map[workloadKey]*usualPause{}
	}
	u.tracked[service] = true
	return true
}

func (u *usualPauses) tracks(service string) bool { return u.tracked[service] }

// relative returns a pause relative to the usual one of its group, which then follows it.
func (u *usualPauses) relative(key workloadKey, pause time.Duration) float64 {
	p := u.pauses[key]
	if p == nil {
		p = &usualPause{}
		u.pauses[key] = p
	}
	sample := pause.Seconds()
	p.count++
	switch step := 1 + max(usualPauseStep, 1/float64(p.count)); {
	case p.seconds == 0:
		p.seconds = sample
	case sample > p.seconds:
		p.seconds = min(p.seconds*step, sample)
	default:
		p.seconds = max(p.seconds/step, sample)
	}
	return sample / p.seconds
}

// usualPauseStep is the relative change of the usual pause by one stream. Upstreams' speeds
// differ by more, so that the estimate does not move from one kind to the other.
const usualPauseStep = 0.05
