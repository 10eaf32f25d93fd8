package rollout

import "time"

// Machine decides which engine loads or unloads which version next, and when
// this node may say so. It does no I/O; it belongs to one goroutine.
type Machine struct {
	settings Settings
	self     string
	run      string
	guards   guards
	// few orders in hand are written at once; see waitsForRenewal.
	few int

	now   time.Time
	out   []Action
	rank  int
	plan  *plan
	fresh bool
	fleet fleet
	tally tally
	row   row
	pace  pace

	// takenAt is when this node took the row, or woke from a pause. Nothing is
	// decided until all live engines were asked since.
	takenAt time.Time
	// doubtAt is when an order was last left that may still be on its way though
	// nobody waits for it; the next orders then get a higher fencing number.
	doubtAt time.Time
	// confirmed is the revision known to be in force everywhere, since
	// confirmedAt.
	confirmed   uint64
	confirmedAt time.Time
	askedForce  time.Time
	asking      bool
	credit      float64
	ticked      time.Time
}

// guards switch single rules off, so that tests show that each is needed.
type guards struct {
	// doneOnAck takes an order for done when the engine acknowledged it.
	doneOnAck bool
	// countComing takes versions for ready on engines that only load them.
	countComing bool
	// noProof sends orders without having seen the row lately.
	noProof bool
	// noInForce unloads a withdrawn version before the withdrawal is in force.
	noInForce bool
	// noRevision sends orders decided under an older configuration.
	noRevision bool
	// noSweep decides before all engines were asked.
	noSweep bool
}

// NewMachine returns the machine of one process on the VM self. Run must be
// different for each process.
func NewMachine(s Settings, self, run string) *Machine {
	s = s.WithDefaults()
	return &Machine{settings: s, self: self, run: run, few: fewOrders, rank: -1, pace: pace{limit: s.LoadsAtOnce}}
}

// Step takes an event and returns what is to be done, in order. Now must carry
// a monotonic reading, or be virtual.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.now = now
	m.out = nil
	m.noticePause()
	switch ev := ev.(type) {
	case Tick:
		m.tick(ev)
	case RowAnswer:
		m.rowAnswered(ev)
	case RowWritten:
		m.rowWritten(ev)
	case EngineAnswer:
		m.engineAnswered(ev)
	case OrderAnswer:
		m.orderAnswered(ev)
	case InForceAnswer:
		m.inForceAnswered(ev)
	}
	return m.out
}

func (m *Machine) tick(ev Tick) {
	m.rank = ev.Rank
	m.fleet.set(ev.View)
	m.setPlan(ev)
	m.attachHands()
	m.advance()
	if m.holding() {
		m.readEngines()
		m.askInForce()
	}
	m.ticked = m.now
}

// noticePause asks all engines again after this node stood still: what it knew
// is partly too old to count, and versions would look missing that are there.
func (m *Machine) noticePause() {
	if m.holding() && m.now.Sub(m.ticked) > m.settings.Tick+m.settings.ProofFor {
		m.takenAt = m.now
	}
}

func (m *Machine) setPlan(ev Tick) {
	m.fresh = ev.Fresh && ev.Snapshot != nil
	if ev.Snapshot == nil || m.plan != nil && m.plan.revision == ev.Snapshot.Revision {
		return
	}
	m.plan = newPlan(ev.Snapshot)
	for _, e := range m.fleet.engines {
		m.resolve(e)
	}
}

// resolve renews the engine's indexes into the plan.
func (m *Machine) resolve(e *engine) {
	if m.plan == nil {
		return
	}
	e.has = m.plan.indexes(e.state.Versions)
	e.loading = m.plan.indexes(e.state.Loading)
	if e.hand != nil {
		e.hand.version = m.plan.find(e.hand.pending.Version)
	}
}

// advance does what the row allows now.
func (m *Machine) advance() {
	if !m.holding() {
		m.watch()
		return
	}
	if m.plan == nil || m.fleet.view == nil {
		m.renew(m.row.record)
		return
	}
	m.count()
	m.send()
	if m.row.busy || m.waitsForRenewal() {
		return
	}
	next, changed := m.next()
	if changed {
		m.write(next)
		return
	}
	m.renew(next)
}

// waitsForRenewal bounds the bytes that a long row costs: what changes in it
// goes with the next renewal.
func (m *Machine) waitsForRenewal() bool {
	long := len(m.row.record.Orders) > m.few
	return long && !m.row.unsure && m.now.Sub(m.row.wroteAt) < m.settings.Lease/renewals
}

func (m *Machine) do(a Action) { m.out = append(m.out, a) }
