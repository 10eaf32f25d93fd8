package rollout

import "time"

// renewals is how often a holder writes the row within a lease.
const renewals = 3

// maxImmediateOrders is the number of pending orders up to which a change of the row is
// written at once. Changes of a longer row wait for the next renewal.
const maxImmediateOrders = 16

// rowState is what this node knows of the table's row.
type rowState struct {
	// known is set once the row was read; version and record are those of the last read,
	// or of this node's last write.
	known   bool
	version uint64
	record  Record
	// firstSeenAt is when this node first saw the version.
	firstSeenAt time.Time
	// callInFlight is set while a read or write of the row runs; calledAt is when the
	// last one began.
	callInFlight bool
	calledAt     time.Time
	// pendingRecord is the value that the write in flight gives the row.
	pendingRecord Record
	writeInFlight bool
	writtenAt     time.Time
	// needsRead is set after a failed call: the row must be read before the next write.
	needsRead bool
	// term is the one that this node holds, 0 for none. ownedAt is the start of the last
	// call that showed the row to be of this term.
	term    uint64
	ownedAt time.Time
}

// holdsLease reports whether the row was this node's when it was last read or written.
func (m *Machine) holdsLease() bool { return m.row.term != 0 }

// watch reads the row from time to time, so that it can be taken over once it stays
// unchanged. If two nodes try, the condition of their writes lets one succeed.
func (m *Machine) watch() {
	if m.rank < 0 || m.row.callInFlight {
		return
	}
	if m.row.needsRead || !m.row.known || m.now.Sub(m.row.calledAt) >= m.settings.Lease/renewals {
		m.readRow()
	}
}

// mayTakeOver reports whether the row has stayed unchanged for long enough, right after
// it was read. The time is measured by this node's clock since it first saw this version
// of the row. A higher rank waits longer; no lease is waited for if the row was released.
func (m *Machine) mayTakeOver() bool {
	wait := m.settings.Lease + time.Duration(m.rank)*m.settings.Lease/2
	if m.row.record.Holder == "" {
		wait -= m.settings.Lease
	}
	return m.rank >= 0 && m.now.Sub(m.row.firstSeenAt) >= wait
}

func (m *Machine) takeOver() {
	next := m.row.record
	next.Term++
	m.writeRow(next)
}

func (m *Machine) readRow() {
	m.row.callInFlight, m.row.calledAt = true, m.now
	m.emit(ReadRow{})
}

func (m *Machine) writeRow(next Record) {
	next.Holder, next.Run = m.self, m.run
	next.Expires = rowTime(m.now.Add(m.settings.Lease))
	m.row.callInFlight, m.row.calledAt = true, m.now
	m.row.pendingRecord, m.row.writeInFlight = next, true
	m.emit(WriteRow{Version: m.row.version, Value: next.encode()})
}

// renew writes the row when it is due, so that the watchers see that this node is alive.
func (m *Machine) renew(next Record) {
	switch {
	case m.row.callInFlight:
	case m.row.needsRead:
		m.readRow()
	case m.now.Sub(m.row.writtenAt) >= m.settings.Lease/renewals:
		m.writeRow(next)
	}
}

// handleRowAnswer applies the row as read. After a write whose answer was lost, the row
// shows whether it succeeded: only this process writes its Run.
func (m *Machine) handleRowAnswer(ev RowAnswer) {
	m.row.callInFlight = false
	wrote := m.row.writeInFlight
	m.row.writeInFlight = false
	if ev.Failed {
		m.row.needsRead = true
		return
	}
	record, err := decodeRecord(ev.Value)
	if err != nil {
		m.loseLease() // a row that cannot be decoded is not overwritten
		m.row.known = false
		return
	}
	m.row.needsRead = false
	if !m.row.known || m.row.version != ev.Version {
		m.row.firstSeenAt = m.now
	}
	m.row.known, m.row.version, m.row.record = true, ev.Version, record
	if record.Run == m.run {
		m.confirmLease(record.Term)
	} else {
		m.loseLease()
	}
	if !m.holdsLease() && !wrote && m.mayTakeOver() {
		m.takeOver()
		return
	}
	m.advanceIfHolding()
}

func (m *Machine) handleRowWritten(ev RowWritten) {
	m.row.callInFlight, m.row.writeInFlight, m.row.needsRead = false, false, false
	m.row.known, m.row.version, m.row.record = true, ev.Version, m.row.pendingRecord
	m.row.firstSeenAt = m.now
	m.row.writtenAt = m.row.calledAt
	if m.row.record.Term > m.row.term && !m.abandonedAt.After(m.row.calledAt) {
		m.abandonedAt = time.Time{}
	}
	m.confirmLease(m.row.record.Term)
	m.advanceIfHolding()
}

// confirmLease records that the row was of this node's term when the call began.
func (m *Machine) confirmLease(term uint64) {
	if m.row.term == 0 {
		m.startLease()
	}
	m.row.term = term
	m.row.ownedAt = m.row.calledAt
	m.attachOrders()
}

// startLease discards what was known of the engines before this node took the row.
func (m *Machine) startLease() {
	m.sweepStart = m.now
	m.abandonedAt = time.Time{}
	m.confirmedRevision = 0
	m.limiter = loadLimiter{limit: m.settings.InitialLoads}
	for _, e := range m.fleet.engines {
		e.order = nil
		e.clearState()
	}
}

func (m *Machine) loseLease() {
	m.row.term = 0
	for _, e := range m.fleet.engines {
		e.order = nil
	}
}

func (m *Machine) advanceIfHolding() {
	if m.holdsLease() {
		m.advance()
	}
}

// Release returns the write that gives the row up, and whether the row is this node's. It
// must be called only when no other call is in flight.
func (m *Machine) Release(now time.Time) (WriteRow, bool) {
	if !m.holdsLease() {
		return WriteRow{}, false
	}
	next := m.row.record
	next.Holder, next.Run, next.Expires = "", "", rowTime(now)
	m.row.term = 0
	return WriteRow{Version: m.row.version, Value: next.encode()}, true
}
