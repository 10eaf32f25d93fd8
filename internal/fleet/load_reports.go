package fleet

import (
	"slices"
	"time"
)

// ReportsLoad reports whether upstreams of a service state their load, from a sample that is
// spread evenly.
func (f *Fleet) ReportsLoad(service string) bool {
	members := f.services[service].all()
	step := max(len(members)/loadSampleSize, 1)
	for i := 0; i < len(members); i += step {
		f.examined++
		if !members[i].loadReportedAt.IsZero() {
			return true
		}
	}
	return false
}

// LoadWithout is [Fleet.ServiceLoad] without the upstreams of excluded versions. During a
// rollout most requests find room only at the versions that are not excluded.
func (f *Fleet) LoadWithout(service, version string, excluded []string, now time.Time) float64 {
	if len(excluded) == 0 {
		return f.ServiceLoad(service, version, now)
	}
	used, slots := 0.0, 0.0
	members := f.services[service].ofVersion(version)
	step := max(len(members)/loadSampleSize, 1)
	for i := 0; i < len(members); i += step {
		f.examined++
		if u := members[i]; f.usable(u, now) && !slices.Contains(excluded, u.Version) {
			used += u.load(now) * float64(u.Slots)
			slots += float64(u.Slots)
		}
	}
	return used / max(slots, 1)
}
