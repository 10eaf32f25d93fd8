package rollout

import "time"

// renewals is how often a holder writes the row in the time of a lease.
const renewals = 3

// fewOrders in hand are written at once; changes of more wait for the renewal.
const fewOrders = 16

// row is what this node knows of the table's row.
type row struct {
	// known says that the row was read; version and record are of then, or of
	// this node's own last write.
	known   bool
	version uint64
	record  Record
	// changedAt is when this node first saw the version.
	changedAt time.Time
	// busy says that a call is out; calledAt is when the last one was begun.
	busy     bool
	calledAt time.Time
	// written is what an outstanding write would make of the row.
	written Record
	writing bool
	wroteAt time.Time
	// unsure asks for a read before the next write.
	unsure bool
	// term is the one that this node holds, 0 for none. proof is the start of
	// the last call that showed the row to be of this term.
	term  uint64
	proof time.Time
}

// holding says that the row was this node's when it last looked.
func (m *Machine) holding() bool { return m.row.term != 0 }

// watch waits for the row to stand still, and takes it then. Only who bothers
// is decided here; if two do, the condition of their writes lets one through.
func (m *Machine) watch() {
	if m.rank < 0 || m.row.busy {
		return
	}
	if m.row.unsure || !m.row.known || m.now.Sub(m.row.calledAt) >= m.settings.Lease/renewals {
		m.readRow()
	}
}

// mayTake is asked right after the row was read. The wait is by this node's
// own clock since it first saw this version of the row.
func (m *Machine) mayTake() bool {
	wait := m.settings.Lease + time.Duration(m.rank)*m.settings.Lease/2
	if m.row.record.Holder == "" {
		wait -= m.settings.Lease
	}
	return m.rank >= 0 && m.now.Sub(m.row.changedAt) >= wait
}

func (m *Machine) take() {
	next := m.row.record
	next.Term++
	m.write(next)
}

func (m *Machine) readRow() {
	m.row.busy, m.row.calledAt = true, m.now
	m.do(ReadRow{})
}

func (m *Machine) write(next Record) {
	next.Holder, next.Run = m.self, m.run
	next.Expires = stamp(m.now.Add(m.settings.Lease))
	m.row.busy, m.row.calledAt = true, m.now
	m.row.written, m.row.writing = next, true
	m.do(WriteRow{Version: m.row.version, Value: next.encode()})
}

// renew shows the watchers that this node lives.
func (m *Machine) renew(next Record) {
	switch {
	case m.row.busy:
	case m.row.unsure:
		m.readRow()
	case m.now.Sub(m.row.wroteAt) >= m.settings.Lease/renewals:
		m.write(next)
	}
}

// rowAnswered takes in the row as it is. A write whose answer was lost is told
// from one that failed by what the row says: only this process writes its Run.
func (m *Machine) rowAnswered(ev RowAnswer) {
	m.row.busy = false
	wrote := m.row.writing
	m.row.writing = false
	if ev.Failed {
		m.row.unsure = true
		return
	}
	record, err := decodeRecord(ev.Value)
	if err != nil {
		m.lose() // a row that cannot be read is left as it is
		m.row.known = false
		return
	}
	m.row.unsure = false
	if !m.row.known || m.row.version != ev.Version {
		m.row.changedAt = m.now
	}
	m.row.known, m.row.version, m.row.record = true, ev.Version, record
	if record.Run == m.run {
		m.held(record.Term)
	} else {
		m.lose()
	}
	if !m.holding() && !wrote && m.mayTake() {
		m.take()
		return
	}
	m.advanceHeld()
}

func (m *Machine) rowWritten(ev RowWritten) {
	m.row.busy, m.row.writing, m.row.unsure = false, false, false
	m.row.known, m.row.version, m.row.record = true, ev.Version, m.row.written
	m.row.changedAt = m.now
	m.row.wroteAt = m.row.calledAt
	if m.row.record.Term > m.row.term && !m.doubtAt.After(m.row.calledAt) {
		m.doubtAt = time.Time{}
	}
	m.held(m.row.record.Term)
	m.advanceHeld()
}

// held notes that the row was of this node's term when the call was begun.
func (m *Machine) held(term uint64) {
	if m.row.term == 0 {
		m.begin()
	}
	m.row.term = term
	m.row.proof = m.row.calledAt
	m.attachHands()
}

// begin forgets what was seen under other holders.
func (m *Machine) begin() {
	m.takenAt = m.now
	m.doubtAt = time.Time{}
	m.confirmed = 0
	m.pace = pace{limit: m.settings.LoadsAtOnce}
	for _, e := range m.fleet.engines {
		e.hand = nil
		e.forget()
	}
}

func (m *Machine) lose() {
	m.row.term = 0
	for _, e := range m.fleet.engines {
		e.hand = nil
	}
}

func (m *Machine) advanceHeld() {
	if m.holding() {
		m.advance()
	}
}

// Release returns the write that gives the row up, if it is this node's. Ask
// it when no call is out any more.
func (m *Machine) Release(now time.Time) (WriteRow, bool) {
	if !m.holding() {
		return WriteRow{}, false
	}
	next := m.row.record
	next.Holder, next.Run, next.Expires = "", "", stamp(now)
	m.row.term = 0
	return WriteRow{Version: m.row.version, Value: next.encode()}, true
}
