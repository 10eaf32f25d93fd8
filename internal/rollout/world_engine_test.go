package rollout

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/standin/engine/model"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// simEngine simulates one engine; orders have the same effect as on the stand-in.
type simEngine struct {
	w            *world
	id           string
	domain       string
	honourFence  bool
	bootVersions []string
	control      *model.Control
	up           bool
	// busy engines always run requests of some version.
	busy bool
	// workUntil is when the last request of a withdrawn version ends.
	workUntil map[string]time.Time
	// lostAt is when a version was last lost here by a fault.
	lostAt map[string]time.Time
	// gainedAt is when a version was last added here.
	gainedAt map[string]time.Time
	// exempt loads do not count towards the limit: their orders arrived late, or were
	// given up.
	exempt map[string]bool
}

func (w *world) addEngine(id, domain string, honour bool, boot ...string) *simEngine {
	e := &simEngine{
		w: w, id: id, domain: domain, honourFence: honour, bootVersions: boot, up: true, control: model.NewControl(boot, honour),
		workUntil: map[string]time.Time{}, lostAt: map[string]time.Time{}, gainedAt: map[string]time.Time{},
		exempt: map[string]bool{},
	}
	w.engines = append(w.engines, e)
	return e
}

// drawWork draws how long requests run on the versions that a revision withdraws. New
// ones may come until the revision is in force, and they end within DrainTimeout.
func (e *simEngine) drawWork(r *revision) {
	for i := range r.snapshot.Doc.Models {
		for _, v := range r.snapshot.Doc.Models[i].Versions {
			if v.State != config.Withdrawn {
				delete(e.workUntil, v.Name)
			} else if _, ok := e.workUntil[v.Name]; !ok {
				e.workUntil[v.Name] = r.inForce.Add(e.w.randomDuration(e.w.settings.DrainTimeout / 2))
			}
		}
	}
}

// working reports whether requests of the version run here at that time.
func (e *simEngine) working(version string, at time.Time) bool {
	return e.control.Has(version) && at.Before(e.workUntil[version])
}

func (e *simEngine) load() *upstream.LoadReport {
	age := e.w.randomDuration(time.Second).Truncate(time.Millisecond)
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

// fail crashes the process; it restarts with bootVersions after downtime.
func (e *simEngine) fail(downtime time.Duration) {
	if !e.up {
		return
	}
	e.w.logf("%s crashes", e.id)
	for _, v := range e.control.Versions() {
		e.lostAt[v] = e.w.now
	}
	e.up = false
	e.control = model.NewControl(e.bootVersions, e.honourFence)
	clear(e.workUntil)
	clear(e.exempt)
	e.w.updateViewSoon()
	e.w.after(downtime, func() {
		e.up = true
		for _, v := range e.bootVersions {
			e.gainedAt[v] = e.w.now
		}
		e.w.updateViewSoon()
	})
}

func (w *world) engine(id string) *simEngine {
	i := slices.IndexFunc(w.engines, func(e *simEngine) bool { return e.id == id })
	return w.engines[i]
}

func (w *world) readEngine(n *simNode, a ReadEngine) {
	e := w.engine(a.Engine)
	w.after(w.latency(), func() {
		answer := EngineAnswer{Engine: a.Engine, Began: a.Began, Failed: !e.up}
		if e.up {
			answer.State = e.control.State()
			if a.Load {
				answer.Load = e.load()
			}
		}
		n.answer(w.latency(), answer)
	})
}

func (w *world) sendOrder(n *simNode, a SendOrder) {
	n.checkSent(a.Order, a.Engine)
	run, revision := n.machine.run, n.revision
	reply := func(after time.Duration, r OrderResult) {
		n.answer(after, OrderAnswer{Engine: a.Engine, Began: a.Began, Result: r})
	}
	e := w.engine(a.Engine)
	late := w.nextOrderDelay
	w.nextOrderDelay = 0
	if w.chance(w.faults.lateOrders) {
		late = w.randomDuration(w.faults.delay)
	}
	switch {
	case late > 0:
		w.logf("%s's %s %s at %s is late", n.id, a.Order.Action, a.Order.Version, e.id)
		w.after(late, func() { e.receive(a.Order, run, revision, true) })
		reply(w.settings.CallTimeout, OrderUnknown)
	case w.chance(w.faults.loseOrderAcks):
		w.logf("%s's %s %s at %s loses its answer", n.id, a.Order.Action, a.Order.Version, e.id)
		w.after(w.latency(), func() { e.receive(a.Order, run, revision, false) })
		reply(w.settings.CallTimeout, OrderUnknown)
	default:
		w.after(w.latency(), func() { reply(w.latency(), e.receive(a.Order, run, revision, false)) })
	}
}

func (e *simEngine) receive(o upstream.Order, run string, r *revision, late bool) OrderResult {
	if !e.up {
		return OrderNotSent
	}
	e.w.checkOrder(e, o, run, r)
	if !late {
		e.w.checkLoadIsNeeded(e, o, run, r)
	}
	hadVersion := e.control.Has(o.Version)
	switch e.control.Apply(o) {
	case model.Stale:
		e.w.logf("%s refuses %s %s of term %d", e.id, o.Action, o.Version, o.Fence)
		return OrderStale
	case model.Fetch:
		e.w.logf("%s loads %s", e.id, o.Version)
		e.exempt[o.Version] = late || !e.w.isPending(e.id, o)
		e.fetch(o.Version)
	case model.Applied:
		if hadVersion && !e.control.Has(o.Version) {
			e.w.logf("%s unloads %s", e.id, o.Version)
		}
	}
	e.w.checkLoads()
	return OrderAccepted
}

func (e *simEngine) fetch(version string) {
	control := e.control
	fails := e.w.chance(e.w.faults.failLoads)
	duration := e.w.faults.loadTime/2 + e.w.randomDuration(e.w.faults.loadTime)
	e.w.after(duration, func() {
		switch {
		case control != e.control:
		case fails:
			control.Abandon(version)
			e.w.logf("%s cannot load %s", e.id, version)
		case control.Fetched(version):
			e.gainedAt[version] = e.w.now
			if e.w.withdrawn(version) {
				delete(e.workUntil, version) // no new request can begin
			}
			e.w.logf("%s has %s", e.id, version)
		}
	})
}
