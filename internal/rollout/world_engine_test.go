package rollout

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/standin/engine/model"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// simEngine is one engine; orders act on it as on the stand-in.
type simEngine struct {
	w       *world
	id      string
	domain  string
	honour  bool
	boot    []string
	control *model.Control
	up      bool
	// busy engines always have work of some version.
	busy bool
	// workUntil is when the last work of a withdrawn version ends.
	workUntil map[string]time.Time
	// lostAt is when a version was last lost here by a fault.
	lostAt map[string]time.Time
	// gainedAt is when a version last came to be here.
	gainedAt map[string]time.Time
	// excused loads are not counted: what began them came late, or the driver
	// had reason to give them up.
	excused map[string]bool
}

func (w *world) addEngine(id, domain string, honour bool, boot ...string) *simEngine {
	e := &simEngine{
		w: w, id: id, domain: domain, honour: honour, boot: boot, up: true, control: model.NewControl(boot, honour),
		workUntil: map[string]time.Time{}, lostAt: map[string]time.Time{}, gainedAt: map[string]time.Time{},
		excused: map[string]bool{},
	}
	w.engines = append(w.engines, e)
	return e
}

// drawWork draws how long work of versions goes on that a revision withdraws:
// until then new work may come, and what runs ends within DrainFor.
func (e *simEngine) drawWork(r *revision) {
	for i := range r.snapshot.Doc.Models {
		for _, v := range r.snapshot.Doc.Models[i].Versions {
			if v.State != config.Withdrawn {
				delete(e.workUntil, v.Name)
			} else if _, ok := e.workUntil[v.Name]; !ok {
				e.workUntil[v.Name] = r.inForce.Add(e.w.random64(e.w.settings.DrainFor / 2))
			}
		}
	}
}

// working says whether work of the version runs here, as of then.
func (e *simEngine) working(version string, at time.Time) bool {
	return e.control.Has(version) && at.Before(e.workUntil[version])
}

func (e *simEngine) load() *upstream.LoadReport {
	age := e.w.random64(time.Second).Truncate(time.Millisecond)
	at := e.w.now.Add(-age)
	r := &upstream.LoadReport{AgeMillis: age.Milliseconds()}
	if e.busy {
		r.Running = 1
	}
	for v := range e.workUntil {
		if e.working(v, at) {
			r.Running++
		}
	}
	return r
}

func (e *simEngine) ready(version string) bool { return e.up && e.control.Has(version) }

// fail ends the process; it comes back with what it starts with.
func (e *simEngine) fail(back time.Duration) {
	if !e.up {
		return
	}
	e.w.note("%s crashes", e.id)
	for _, v := range e.control.Versions() {
		e.lostAt[v] = e.w.now
	}
	e.up = false
	e.control = model.NewControl(e.boot, e.honour)
	clear(e.workUntil)
	clear(e.excused)
	e.w.lookSoon()
	e.w.after(back, func() {
		e.up = true
		for _, v := range e.boot {
			e.gainedAt[v] = e.w.now
		}
		e.w.lookSoon()
	})
}

func (w *world) engine(id string) *simEngine {
	i := slices.IndexFunc(w.engines, func(e *simEngine) bool { return e.id == id })
	return w.engines[i]
}

func (w *world) readEngine(n *simNode, a ReadEngine) {
	e := w.engine(a.Engine)
	w.after(w.hop(), func() {
		answer := EngineAnswer{Engine: a.Engine, Began: a.Began, Failed: !e.up}
		if e.up {
			answer.State = e.control.State()
			if a.Load {
				answer.Load = e.load()
			}
		}
		n.answer(w.hop(), answer)
	})
}

func (w *world) sendOrder(n *simNode, a SendOrder) {
	n.sent(a.Order, a.Engine)
	run, revision := n.machine.run, n.revision
	reply := func(after time.Duration, r OrderResult) {
		n.answer(after, OrderAnswer{Engine: a.Engine, Began: a.Began, Result: r})
	}
	e := w.engine(a.Engine)
	late := w.lateFor
	w.lateFor = 0
	if w.chance(w.faults.lateOrders) {
		late = w.random64(w.faults.late)
	}
	switch {
	case late > 0:
		w.note("%s's %s %s at %s is late", n.id, a.Order.Action, a.Order.Version, e.id)
		w.after(late, func() { e.take(a.Order, run, revision, true) })
		reply(w.settings.CallTimeout, OrderInDoubt)
	case w.chance(w.faults.loseOrderAcks):
		w.note("%s's %s %s at %s loses its answer", n.id, a.Order.Action, a.Order.Version, e.id)
		w.after(w.hop(), func() { e.take(a.Order, run, revision, false) })
		reply(w.settings.CallTimeout, OrderInDoubt)
	default:
		w.after(w.hop(), func() { reply(w.hop(), e.take(a.Order, run, revision, false)) })
	}
}

func (e *simEngine) take(o upstream.Order, run string, r *revision, late bool) OrderResult {
	if !e.up {
		return OrderNotSent
	}
	e.w.checkOrder(e, o, run, r)
	if !late {
		e.w.checkNeed(e, o, run, r)
	}
	had := e.control.Has(o.Version)
	switch e.control.Take(o) {
	case model.Stale:
		e.w.note("%s refuses %s %s of term %d", e.id, o.Action, o.Version, o.Fence)
		return OrderStale
	case model.Fetch:
		e.w.note("%s loads %s", e.id, o.Version)
		e.excused[o.Version] = late || !e.w.inHand(e.id, o)
		e.fetch(o.Version)
	case model.Taken:
		if had && !e.control.Has(o.Version) {
			e.w.note("%s unloads %s", e.id, o.Version)
		}
	}
	e.w.checkLoads()
	return OrderTaken
}

func (e *simEngine) fetch(version string) {
	control := e.control
	fails := e.w.chance(e.w.faults.failLoads)
	took := e.w.faults.load/2 + e.w.random64(e.w.faults.load)
	e.w.after(took, func() {
		switch {
		case control != e.control:
		case fails:
			control.Abandon(version)
			e.w.note("%s cannot load %s", e.id, version)
		case control.Fetched(version):
			e.gainedAt[version] = e.w.now
			if e.w.withdrawn(version) {
				delete(e.workUntil, version) // none can begin any more
			}
			e.w.note("%s has %s", e.id, version)
		}
	})
}
