package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SetEvacuated says whether a failure domain gets new work. Attempts under way go on.
//
// Upstreams of a domain that returns may have been replaced or emptied meanwhile: they
// count as just started.
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
			u.extendWarmUp(now.Add(f.warmUps[u.Service].Time))
		}
	}
}

// usable tells whether new work may be sent to an upstream now.
func (f *Fleet) usable(u *Upstream, now time.Time) bool {
	return !f.evacuated[u.Domain] && u.ready(now)
}

// restSpread is by which part this node lengthens an upstream's rests.
//
// Without this, nodes that were turned away together return together, to an upstream that
// looks idle to all of them.
func (f *Fleet) restSpread(u *Upstream) float64 {
	draw := mix(xxhash.Sum64String(u.said.Start()) ^ f.settings.Origin)
	return restSpread * float64(draw>>11) / (1 << 53)
}

// Leaves tells whether an upstream takes no new work for good.
func (f *Fleet) Leaves(u *Upstream) bool { return u.leaves() }

// Takes tells whether an attempt that was chosen for an upstream may still be sent there: it
// may not where the upstream leaves, rests or is evacuated by now.
func (f *Fleet) Takes(u *Upstream, now time.Time) bool {
	return !f.evacuated[u.Domain] && !u.leaves() && !now.Before(u.restsUntil())
}

// Stranded returns the services that have upstreams which would take new work, all of them
// in evacuated failure domains.
func (f *Fleet) Stranded(now time.Time) (services []string) {
	for service, ups := range f.services {
		ready := func(u *Upstream) bool { return u.ready(now) }
		usable := func(u *Upstream) bool { return f.usable(u, now) }
		if slices.ContainsFunc(ups, ready) && !slices.ContainsFunc(ups, usable) {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}
