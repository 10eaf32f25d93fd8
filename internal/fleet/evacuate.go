package fleet

import (
	"slices"
	"time"
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
	for _, u := range f.byID {
		if u.Domain != domain {
			continue
		}
		u.evacuated = evacuated
		if !evacuated {
			u.extendWarmUp(now.Add(f.warmUps[u.Service].Time))
		}
	}
}

// Stranded returns the services that have upstreams, all of them in evacuated failure
// domains.
func (f *Fleet) Stranded(now time.Time) (services []string) {
	for service, ups := range f.services {
		evacuated := func(u *Upstream) bool { return u.evacuated }
		usable := func(u *Upstream) bool { return u.ready(now) }
		if slices.ContainsFunc(ups, evacuated) && !slices.ContainsFunc(ups, usable) {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}
