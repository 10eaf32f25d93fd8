package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SetEvacuated sets whether a failure domain is evacuated, which means that it gets no new
// work. Attempts in progress continue.
//
// Upstreams of a domain that returns may have been replaced or emptied meanwhile, so that
// they warm up like newly started ones.
func (f *Fleet) SetEvacuated(domain string, evacuated bool, now time.Time) {
	if f.evacuated[domain] == evacuated {
		return
	}
	f.evacuated[domain] = evacuated
	if evacuated {
		return
	}
	for _, u := range f.byID {
		if u.Domain == domain {
			f.extendWarmUp(u, now.Add(f.warmUps[u.Service].Duration))
		}
	}
}

// usable reports whether new work may be sent to an upstream now.
func (f *Fleet) usable(u *Upstream, now time.Time) bool {
	return f.unusable(u, now) == NotExcluded
}

// backoffJitter returns the fraction by which this node extends the upstream's back-offs.
//
// Without it, nodes that were rejected together would return together to an upstream that
// looks idle to all of them.
func (f *Fleet) backoffJitter(u *Upstream) float64 {
	draw := mixBits(xxhash.Sum64String(u.Incarnation()) ^ f.settings.Origin)
	return maxBackoffJitter * float64(draw>>11) / (1 << 53)
}

// IsLeaving reports whether an upstream has permanently stopped taking new work.
func (f *Fleet) IsLeaving(u *Upstream) bool { return u.isLeaving() }

// StillAccepts reports whether an attempt may still be sent to the upstream that was chosen
// for it. It may not if the upstream is leaving, in back-off or evacuated by now.
func (f *Fleet) StillAccepts(u *Upstream, now time.Time) bool {
	return !f.evacuated[u.Domain] && !u.isLeaving() && !now.Before(u.backoffUntil())
}

// FullyEvacuatedServices returns the services that have upstreams ready for new work, but
// only in evacuated failure domains. They are sorted by name.
func (f *Fleet) FullyEvacuatedServices(now time.Time) (services []string) {
	for service, index := range f.services {
		ups := index.all()
		ready := func(u *Upstream) bool { return u.ready(now) }
		usable := func(u *Upstream) bool { return f.usable(u, now) }
		if slices.ContainsFunc(ups, ready) && !slices.ContainsFunc(ups, usable) {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}
