package rollout

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// detectionTime is how long a driver may take to notice a loss by a fault.
const detectionTime = DefaultStateTTL + 15*time.Second

// demand is how many engines should have a version under a configuration.
func (w *world) demand(s *config.Snapshot, version string) int {
	p := newPlan(s)
	return p.versions[p.indexOf(version)].demand(len(w.engines), &w.settings)
}

func (w *world) ready(version string) int {
	n := 0
	for _, e := range w.engines {
		if e.ready(version) {
			n++
		}
	}
	return n
}

// checkOrder checks an unload as it arrives. If it is no longer in the row, or another
// run holds the row, it was delayed too long: its effect counts as a fault that the
// holder has to correct.
func (w *world) checkOrder(e *simEngine, o upstream.Order, run string, r *revision) {
	if o.Action != upstream.UnloadVersion || !e.control.Has(o.Version) {
		return
	}
	if w.row.record.Run != run || !w.isPending(e.id, o) {
		w.strayOrders++
		w.logf("stray %s %s at %s", o.Action, o.Version, e.id)
		e.lostAt[o.Version] = w.now
		return
	}
	if r.snapshot.Version(o.Version).State == config.Withdrawn {
		if e.working(o.Version, w.now) {
			w.violatef("%s is unloaded at %s while its requests run", o.Version, e.id)
		}
		w.checkReplaced(e, o.Version, r.snapshot)
		return
	}
	others := w.availableOrLost(o.Version)
	if e.ready(o.Version) {
		others--
	}
	if want := w.demand(r.snapshot, o.Version); others < want {
		w.violatef("%s is unloaded at %s: %d others have it, wanted %d", o.Version, e.id, others, want)
	}
}

// availableOrLost is how many engines a driver may rely on for a version: those that have
// it, and those that lost it by a fault within detectionTime.
func (w *world) availableOrLost(version string) int {
	n := 0
	for _, e := range w.engines {
		lost := !e.lostAt[version].IsZero() && w.now.Sub(e.lostAt[version]) < detectionTime
		if e.ready(version) || lost {
			n++
		}
	}
	return n
}

// checkReplaced checks that a withdrawn version stays until the other versions of its
// model are on enough engines. It does not apply where slots are limited.
func (w *world) checkReplaced(e *simEngine, withdrawn string, s *config.Snapshot) {
	if w.settings.Slots != 0 {
		return
	}
	for _, v := range s.ModelOf(withdrawn).Versions {
		if n, want := w.availableOrLost(v.Name), w.demand(s, v.Name); n < want {
			w.violatef("%s is unloaded at %s: %d have %s, wanted %d", withdrawn, e.id, n, v.Name, want)
		}
	}
}

// checkLoadIsNeeded checks a load as it arrives: no version may be loaded that has been
// on enough engines for detectionTime. Loads decided under an older configuration are
// exempt.
func (w *world) checkLoadIsNeeded(e *simEngine, o upstream.Order, run string, r *revision) {
	if o.Action != upstream.LoadVersion || e.control.Has(o.Version) || w.row.record.Run != run || !w.isPending(e.id, o) {
		return
	}
	if w.pendingSince(e.id, o).Before(r.at.Add(applyTime)) {
		return
	}
	n := 0
	for _, x := range w.engines {
		unloading := w.isPending(x.id, upstream.Order{Action: upstream.UnloadVersion, Version: o.Version})
		if x.ready(o.Version) && !unloading && w.now.Sub(x.gainedAt[o.Version]) > detectionTime {
			n++
		}
	}
	if want := w.demand(r.snapshot, o.Version); n >= want {
		w.violatef("%s is loaded at %s: %d others have it, wanted %d", o.Version, e.id, n, want)
	}
}

// checkLoads bounds the loads at one time, without those that a fault began or that the
// driver has given up.
func (w *world) checkLoads() {
	n := 0
	for _, e := range w.engines {
		if !e.up {
			continue
		}
		for _, v := range e.control.State().Loading {
			w.exemptWithdrawnLoad(e, v)
			if !e.exempt[v] {
				n++
			}
		}
	}
	w.maxLoadsSeen = max(w.maxLoadsSeen, n)
	if n > w.maxLoads() && !w.loadsUnchecked {
		w.violatef("%d engines load at one time", n)
	}
}

// maxLoads is the most loads at one time that the settings allow for this fleet.
func (w *world) maxLoads() int {
	return max(w.settings.InitialLoads, int(w.settings.MaxLoadsPart*float64(len(w.engines))))
}

// exemptWithdrawnLoad exempts a load whose version was withdrawn meanwhile: it is given
// up, and unloaded as soon as that is allowed.
func (w *world) exemptWithdrawnLoad(e *simEngine, version string) {
	if w.latest().snapshot.Version(version).State == config.Withdrawn {
		e.exempt[version] = true
	}
}

// unsettled returns the first difference from the configuration, or "".
func (w *world) unsettled() string {
	s := w.latest().snapshot
	for _, m := range s.Doc.Models {
		for _, v := range m.Versions {
			if w.ready(v.Name) < w.demand(s, v.Name) {
				return v.Name + " is on too few engines"
			}
			if v.State == config.Withdrawn && w.present(v.Name) {
				return v.Name + " is withdrawn and still there"
			}
		}
	}
	if len(w.row.record.Orders) > 0 {
		return "orders are in hand"
	}
	return ""
}

func (w *world) present(version string) bool {
	return slices.ContainsFunc(w.engines, func(e *simEngine) bool {
		return e.up && (e.control.Has(version) || slices.Contains(e.control.State().Loading, version))
	})
}
