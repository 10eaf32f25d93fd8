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
	// live engines take orders; the others count only as wanted.
	live    bool
	leaving bool

	// asked is when the last read was begun; out says that it is not answered.
	asked time.Time
	out   bool
	// tried is the start of the last read that was answered or failed, and seen
	// of the last one that was answered; zero is never.
	tried time.Time
	seen  time.Time
	state upstream.EngineState
	// has and loading are the state's versions as indexes of the plan.
	has     []int
	loading []int
	// idleAt is the youngest instant at which a report says that nothing ran.
	idleAt time.Time
	// avoidUntil ends the time in which no load is tried here.
	avoidUntil time.Time
	// hand is the order in hand here, or nil.
	hand *hand
}

// hand is this node's knowledge of an order in hand.
type hand struct {
	pending Pending
	version int
	// since is when this node first knew of it.
	since time.Time
	// sentAt is when it was last sent from here; out says that it is not
	// answered. taken is set by the engine's acknowledgement.
	sentAt time.Time
	// began is when the load that runs now was first ordered; noted says that its
	// end was taken into the pace.
	began time.Time
	noted bool
	out   bool
	taken bool
}

func (h *hand) loads() bool { return h.pending.Action == upstream.LoadVersion }

func (e *engine) forget() {
	e.seen, e.tried, e.idleAt = time.Time{}, time.Time{}, time.Time{}
	e.asked, e.out = time.Time{}, false
	e.has, e.loading = nil, nil
	e.state = upstream.EngineState{}
}

// room says whether one more version fits.
func (e *engine) room(slots int) bool {
	return slots == 0 || len(e.state.Versions)+len(e.state.Loading) < slots
}

// fleet is the engines of the view, in its order.
type fleet struct {
	view    *membership.View
	engines []*engine
	byID    map[string]*engine
	domains map[string]int
	// wantedOn is how many engines versions are wanted on: those that do not
	// leave, also when they cannot be reached. A lost failure domain must not
	// lower the demand on the others.
	wantedOn int
	live     int
	next     int // of the round of reads
	nextHand int // of the round of reads of engines with an order in hand
}

// set takes a new view and keeps what is known of engines that stay.
func (f *fleet) set(view *membership.View) {
	if view == f.view || view == nil {
		return
	}
	old := f.byID
	f.view = view
	f.engines = make([]*engine, 0, len(view.Engines))
	f.byID = make(map[string]*engine, len(view.Engines))
	f.domains = map[string]int{}
	f.wantedOn, f.live = 0, 0
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
		f.wantedOn++
	}
	if e.live {
		f.live++
	}
	f.engines = append(f.engines, e)
	f.byID[e.id] = e
}
