package rollout

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// excuse is how long a loss by a fault may go unnoticed by a driver.
const excuse = DefaultSeenFor + 15*time.Second

// demand is how many engines a configuration wants for a version.
func (w *world) demand(s *config.Snapshot, version string) int {
	p := newPlan(s)
	return p.versions[p.find(version)].demand(len(w.engines), &w.settings)
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

// checkOrder looks at an order as it arrives. One that the row no longer has,
// or that another run holds the row against, was on its way too long: its
// effect is a fault that the holder has to put right.
func (w *world) checkOrder(e *simEngine, o upstream.Order, run string, r *revision) {
	if o.Action != upstream.UnloadVersion || !e.control.Has(o.Version) {
		return
	}
	if w.row.record.Run != run || !w.inHand(e.id, o) {
		w.strays++
		w.note("stray %s %s at %s", o.Action, o.Version, e.id)
		e.lostAt[o.Version] = w.now
		return
	}
	if r.snapshot.Version(o.Version).State == config.Withdrawn {
		if e.working(o.Version, w.now) {
			w.violate("%s is unloaded at %s under its work", o.Version, e.id)
		}
		w.checkReplaced(e, o.Version, r.snapshot)
		return
	}
	others := w.counted(o.Version)
	if e.ready(o.Version) {
		others--
	}
	if want := w.demand(r.snapshot, o.Version); others < want {
		w.violate("%s is unloaded at %s: %d others have it, wanted %d", o.Version, e.id, others, want)
	}
}

// counted is how many engines a driver may count on for a version: those that
// have it, and those that lost it by a fault a moment ago.
func (w *world) counted(version string) int {
	n := 0
	for _, e := range w.engines {
		lost := !e.lostAt[version].IsZero() && w.now.Sub(e.lostAt[version]) < excuse
		if e.ready(version) || lost {
			n++
		}
	}
	return n
}

// checkReplaced: where there is room, a withdrawn version stays until the
// others of its model are where they are wanted.
func (w *world) checkReplaced(e *simEngine, withdrawn string, s *config.Snapshot) {
	if w.settings.Slots != 0 {
		return
	}
	for _, v := range s.ModelOf(withdrawn).Versions {
		if n, want := w.counted(v.Name), w.demand(s, v.Name); n < want {
			w.violate("%s is unloaded at %s: %d have %s, wanted %d", withdrawn, e.id, n, v.Name, want)
		}
	}
}

// checkNeed looks at a load as it arrives: the weight store is spared loads of
// versions that have long been where they are wanted. What was begun under an
// older configuration is finished.
func (w *world) checkNeed(e *simEngine, o upstream.Order, run string, r *revision) {
	if o.Action != upstream.LoadVersion || e.control.Has(o.Version) || w.row.record.Run != run || !w.inHand(e.id, o) {
		return
	}
	if w.inHandSince(e.id, o).Before(r.at.Add(bringIn)) {
		return
	}
	n := 0
	for _, x := range w.engines {
		leaves := w.inHand(x.id, upstream.Order{Action: upstream.UnloadVersion, Version: o.Version})
		if x.ready(o.Version) && !leaves && w.now.Sub(x.gainedAt[o.Version]) > excuse {
			n++
		}
	}
	if want := w.demand(r.snapshot, o.Version); n >= want {
		w.violate("%s is loaded at %s: %d others have it, wanted %d", o.Version, e.id, n, want)
	}
}

// checkLoads counts loads at one time, without those that a fault began or
// that the driver has given up for a reason.
func (w *world) checkLoads() {
	n := 0
	for _, e := range w.engines {
		if !e.up {
			continue
		}
		for _, v := range e.control.State().Loading {
			w.excuseLoad(e, v)
			if !e.excused[v] {
				n++
			}
		}
	}
	w.mostLoads = max(w.mostLoads, n)
	if n > w.mayLoad() && !w.paceUnchecked {
		w.violate("%d engines load at one time", n)
	}
}

// mayLoad is the most loads at one time that the settings allow of this fleet.
func (w *world) mayLoad() int {
	return max(w.settings.LoadsAtOnce, int(w.settings.LoadsPart*float64(len(w.engines))))
}

// excuseLoad: a load of a version that was withdrawn meanwhile is given up,
// and unloaded as soon as it may be.
func (w *world) excuseLoad(e *simEngine, version string) {
	if w.latest().snapshot.Version(version).State == config.Withdrawn {
		e.excused[version] = true
	}
}

// unsettled says what is not as the configuration wants it, or "".
func (w *world) unsettled() string {
	s := w.latest().snapshot
	for _, m := range s.Doc.Models {
		for _, v := range m.Versions {
			if w.ready(v.Name) < w.demand(s, v.Name) {
				return v.Name + " is on too few engines"
			}
			if v.State == config.Withdrawn && w.held(v.Name) {
				return v.Name + " is withdrawn and still there"
			}
		}
	}
	if len(w.row.record.Orders) > 0 {
		return "orders are in hand"
	}
	return ""
}

func (w *world) held(version string) bool {
	return slices.ContainsFunc(w.engines, func(e *simEngine) bool {
		return e.up && (e.control.Has(version) || slices.Contains(e.control.State().Loading, version))
	})
}
