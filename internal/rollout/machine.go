package rollout

import "time"

// Machine decides which engine loads or unloads which version next, and whether this node
// may send the order. It does no I/O and is not safe for concurrent use.
type Machine struct {
	settings Settings
	self     string
	run      string
	disabled disabledRules
	// immediateOrders is maxImmediateOrders, or lower in tests; see waitsForRenewal.
	immediateOrders int

	now         time.Time
	actions     []Action
	rank        int
	plan        *plan
	fresh       bool
	fleet       fleet
	fleetCounts counts
	row         rowState
	limiter     loadLimiter

	// sweepStart is when this node took the row, or resumed after a pause. Nothing is
	// decided until all live engines were read since.
	sweepStart time.Time
	// abandonedAt is when an order was last given up that may still arrive at its engine.
	// The next orders then get a higher fencing token.
	abandonedAt time.Time
	// confirmedRevision is the revision known to be in force everywhere, since
	// confirmedAt.
	confirmedRevision uint64
	confirmedAt       time.Time
	inForceAskedAt    time.Time
	inForceAskPending bool
	readCredit        float64
	tickedAt          time.Time
}

// disabledRules switch single rules off, so that tests can show that each is needed.
type disabledRules struct {
	// doneOnAck treats an order as done when the engine acknowledged it.
	doneOnAck bool
	// countLoading counts versions as ready on engines that only load them.
	countLoading bool
	// noOwnershipCheck sends orders without having read or written the row recently.
	noOwnershipCheck bool
	// noInForceCheck unloads a withdrawn version before the withdrawal is in force.
	noInForceCheck bool
	// noRevisionCheck sends orders that were decided under an older configuration.
	noRevisionCheck bool
	// noSweep decides before all engines were read.
	noSweep bool
}

// NewMachine returns the machine of one process on the VM self. Run must be unique to the
// process.
func NewMachine(s Settings, self, run string) *Machine {
	s = s.WithDefaults()
	return &Machine{settings: s, self: self, run: run, immediateOrders: maxImmediateOrders, rank: -1, limiter: loadLimiter{limit: s.InitialLoads}}
}

// Step handles an event and returns the actions to perform, in order. Now must carry a
// monotonic reading, or be virtual.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.now = now
	m.actions = nil
	m.restartSweepAfterPause()
	switch ev := ev.(type) {
	case Tick:
		m.tick(ev)
	case RowAnswer:
		m.handleRowAnswer(ev)
	case RowWritten:
		m.handleRowWritten(ev)
	case EngineAnswer:
		m.handleEngineAnswer(ev)
	case OrderAnswer:
		m.handleOrderAnswer(ev)
	case InForceAnswer:
		m.handleInForceAnswer(ev)
	}
	return m.actions
}

func (m *Machine) tick(ev Tick) {
	m.rank = ev.Rank
	m.fleet.update(ev.View)
	m.setPlan(ev)
	m.attachOrders()
	m.advance()
	if m.holdsLease() {
		m.readEngines()
		m.askInForce()
	}
	m.tickedAt = m.now
}

// restartSweepAfterPause requires a new read of all engines after this process stood
// still. Some of the states are then too old to count, so that versions seem to be
// missing that are there.
func (m *Machine) restartSweepAfterPause() {
	if m.holdsLease() && m.now.Sub(m.tickedAt) > m.settings.Tick+m.settings.OwnershipTTL {
		m.sweepStart = m.now
	}
}

// setPlan replaces the plan when the configuration's revision has changed.
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

// resolve recomputes the engine's indexes into the plan.
func (m *Machine) resolve(e *engine) {
	if m.plan == nil {
		return
	}
	e.has = m.plan.indexes(e.state.Versions)
	e.loading = m.plan.indexes(e.state.Loading)
	if e.order != nil {
		e.order.version = m.plan.indexOf(e.order.pending.Version)
	}
}

// advance sends orders that are due and writes the row, as far as the lease allows it
// now.
func (m *Machine) advance() {
	if !m.holdsLease() {
		m.watch()
		return
	}
	if m.plan == nil || m.fleet.view == nil {
		m.renew(m.row.record)
		return
	}
	m.countVersions()
	m.send()
	if m.row.callInFlight || m.waitsForRenewal() {
		return
	}
	next, changed := m.nextRecord()
	if changed {
		m.writeRow(next)
		return
	}
	m.renew(next)
}

// waitsForRenewal bounds the bytes written for a long row: its changes wait for the next
// renewal.
func (m *Machine) waitsForRenewal() bool {
	long := len(m.row.record.Orders) > m.immediateOrders
	return long && !m.row.needsRead && m.now.Sub(m.row.writtenAt) < m.settings.Lease/renewals
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }
