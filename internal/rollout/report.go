package rollout

import "github.com/hickorybank/hickorybank/internal/config"

// updateProgress sets the versions' progress in the record. It reports whether a stage or
// share has changed, which is worth a write of its own.
func (m *Machine) updateProgress(r *Record) bool {
	old := r.Versions
	r.Versions = make([]Progress, 0, len(m.plan.versions))
	changed := len(old) != len(m.plan.versions)
	for v := range m.plan.versions {
		p := m.progress(v)
		if i := findProgress(old, p.Version); i >= 0 && old[i].Stage == p.Stage {
			p.Since = old[i].Since
			changed = changed || old[i].Share != p.Share
		} else {
			changed = true
		}
		r.Versions = append(r.Versions, p)
	}
	return changed && m.fleetCounts.swept
}

func findProgress(list []Progress, version string) int {
	for i := range list {
		if list[i].Version == version {
			return i
		}
	}
	return -1
}

func (m *Machine) progress(v int) Progress {
	w, c := &m.plan.versions[v], &m.fleetCounts.versions[v]
	p := Progress{Version: w.name, Share: w.share, Since: rowTime(m.now), Wanted: c.demand, Seen: c.ready}
	if w.state == config.Serving {
		p.Share = 1
	}
	switch {
	case w.state == config.Withdrawn && c.present > 0:
		p.Stage, p.Seen = Draining, c.present
	case w.state == config.Withdrawn:
		p.Stage = Gone
	case c.ready < c.demand:
		p.Stage = Loading
	default:
		p.Stage = Settled
	}
	return p
}
