package rollout

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/membership"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// engine is what this node knows of one engine.
type engine struct {
	id     string
	addr   string
	domain int
	// live engines take orders; the others only count towards the demand.
	live    bool
	leaving bool

	// readStartedAt is when the last read began; readInFlight is set until it is
	// answered.
	readStartedAt time.Time
	readInFlight  bool
	// lastReadAt is the start of the last read that ended, stateAt that of the last one
	// that succeeded; zero if there was none.
	lastReadAt time.Time
	stateAt    time.Time
	state      upstream.EngineState
	// has and loading are the state's versions as indexes into the plan.
	has     []int
	loading []int
	// idleAt is the latest time at which the engine is known to have run nothing.
	idleAt time.Time
	// avoidUntil is when a load may be tried here again.
	avoidUntil time.Time
	// order is the pending order of the engine, or nil.
	order *orderState
}

// orderState is what this node knows of a pending order.
type orderState struct {
	pending Pending
	version int
	// knownSince is when this node first saw the order.
	knownSince time.Time
	// sentAt is when this node last sent it. inFlight is set until that is answered, and
	// acknowledged once the engine has accepted it.
	sentAt time.Time
	// loadStartedAt is when the running load was first ordered; recorded is set once the
	// limiter has counted its end.
	loadStartedAt time.Time
	recorded      bool
	inFlight      bool
	acknowledged  bool
}

func (o *orderState) isLoad() bool { return o.pending.Action == upstream.LoadVersion }

// clearState discards what was read from the engine.
func (e *engine) clearState() {
	e.stateAt, e.lastReadAt, e.idleAt = time.Time{}, time.Time{}, time.Time{}
	e.readStartedAt, e.readInFlight = time.Time{}, false
	e.has, e.loading = nil, nil
	e.state = upstream.EngineState{}
}

// hasRoom reports whether one more version fits on the engine.
func (e *engine) hasRoom(slots int) bool {
	return slots == 0 || len(e.state.Versions)+len(e.state.Loading) < slots
}

// fleet holds the engines of the view, in the view's order.
type fleet struct {
	view    *membership.View
	engines []*engine
	byID    map[string]*engine
	domains map[string]int
	// targetEngines is the number of engines that the demand is computed from: all that
	// are not leaving, including unreachable ones. The loss of a failure domain must not
	// lower the demand on the others.
	targetEngines int
	live          int
	nextRead      int // index of the next engine to read
	nextPending   int // index of the next engine with a pending order to read
}

// update applies a new view and keeps the state of engines that stay.
func (f *fleet) update(view *membership.View) {
	if view == f.view || view == nil {
		return
	}
	old := f.byID
	f.view = view
	f.engines = make([]*engine, 0, len(view.Engines))
	f.byID = make(map[string]*engine, len(view.Engines))
	f.domains = map[string]int{}
	f.targetEngines, f.live = 0, 0
	for i := range view.Engines {
		f.add(&view.Engines[i], old[view.Engines[i].ID])
	}
}

func (f *fleet) add(m *membership.Member, e *engine) {
	if e == nil || e.addr != m.Addr {
		e = &engine{id: m.ID, addr: m.Addr}
	}
	domain, ok := f.domains[m.FailureDomain]
	if !ok {
		domain = len(f.domains)
		f.domains[m.FailureDomain] = domain
	}
	e.domain = domain
	e.live = m.State == membership.Live
	e.leaving = m.State == membership.Leaving
	if !e.leaving {
		f.targetEngines++
	}
	if e.live {
		f.live++
	}
	f.engines = append(f.engines, e)
	f.byID[e.id] = e
}
