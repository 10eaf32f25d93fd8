package fleet

import "slices"

// Inspect calls read, which may call the methods that decide on attempts of one service, and
// leaves the fleet as it was: what these methods cache, create or let decay is restored.
func (f *Fleet) Inspect(service string, read func()) {
	if f.inspecting {
		read()
		return
	}
	f.inspecting = true
	examined := f.examined
	all := slices.Clone(f.services[service].all())
	pointers, saved := make([]*usage, len(all)), map[*usage]usage{}
	for i, u := range all {
		pointers[i] = u.usage
		if u.usage != unused {
			saved[u.usage] = *u.usage
		}
	}
	defer func() {
		for i, u := range all {
			u.usage = pointers[i]
		}
		for u, before := range saved {
			*u = before
		}
		f.examined, f.inspecting = examined, false
	}()
	read()
}
