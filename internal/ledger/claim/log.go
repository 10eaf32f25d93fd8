package claim

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/fate"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/ledger/pace"
)

// Log is the state of one append-only log of claims in one process. Any number of
// processes may write the same log; conditional writes to the table order them. Row n is
// created only if absent, and only by a process that has read all rows before n and
// evaluated its entries against them. A process that loses the race reads the winner's
// row and evaluates its entries again. A process that resumes after a pause is therefore
// safe: its next write fails if another process wrote in the meantime.
//
// The caller makes the calls that Ready returns and passes their results to RowsRead,
// ReadFailed or WriteDone.
type Log struct {
	settings     LogSettings
	name         key.Log
	index        *index
	floor        *Floor // nil if not known
	next         uint64 // sequence number of the first row that was not read
	upToDate     bool   // false if rows may have been added that were not read
	callInFlight bool   // a call is in flight
	// opsAdded counts the operations. opsAtCall is the count when the call in flight
	// began. opsAtRefresh is the count at the start of the last call that brought the
	// index up to date. Counts are used rather than times because events within one
	// tick of the clock are ordered, too.
	opsAdded     uint64
	opsAtCall    uint64
	opsAtRefresh uint64
	writes       *pace.Pace
	reads        *pace.Pace
	failingSince time.Time // time of the first failure since the last success
	lastFailure  time.Time // time of the last failure

	pending []Op
	// evaluated is how many of pending were evaluated against the current index.
	evaluated   int
	inFlight    *batch // the batch in flight, or nil
	batchNumber uint64 // number of the last batch
	replies     []Reply
	lastUsed    time.Time
}

// NewLog returns a log without any rows read. The floor may be nil, or one that was
// read earlier. If that one is out of date, no write takes effect until it is read again.
func NewLog(name key.Log, s LogSettings, floor *Floor) *Log {
	l := &Log{
		settings: s,
		name:     name,
		floor:    floor,
		index:    newIndex(s.Window),
		writes:   pace.New(s.MinGap, s.MaxGap),
		reads:    pace.New(0, s.MaxGap),
	}
	l.writes.SetBurst(s.Burst)
	return l
}

// Add adds an operation and sets the time of its entry. A later Ready returns its reply.
func (l *Log) Add(now time.Time, op Op) {
	l.lastUsed = now
	op.Entry.At = now.UnixMilli()
	l.opsAdded++
	op.serial = l.opsAdded
	op.addedAt = now
	l.pending = append(l.pending, op)
}

// Floor returns the last known floor, or nil if it must be read.
func (l *Log) Floor() *Floor { return l.floor }

// Idle reports whether the log can be dropped from memory: no call is in flight and no
// operation or reply is left.
func (l *Log) Idle() bool {
	return !l.callInFlight && l.inFlight == nil && len(l.pending) == 0 && len(l.replies) == 0
}

// LastUsed returns the time of the last Add.
func (l *Log) LastUsed() time.Time { return l.lastUsed }

// Keys returns the number of keys that the log holds in memory.
func (l *Log) Keys() int { return len(l.index.records) }

// SetGap changes the minimum time between two writes and the burst of writes that is
// allowed after idle time.
func (l *Log) SetGap(gap time.Duration, burst int) {
	l.writes.SetMinGap(gap)
	l.writes.SetBurst(burst)
}

// RowsRead processes the result of a Read. The floor is nil if it was not requested;
// more means that there may be further rows.
func (l *Log) RowsRead(floor *Floor, rows []StoredRow, more bool) {
	l.callInFlight = false
	l.reads.Succeeded()
	l.recordSuccess()
	l.evaluated = 0
	if floor != nil {
		l.floor = floor
	}
	l.applyFloor()
	for i := range rows {
		l.applyRow(&rows[i])
	}
	l.upToDate = !more
	if l.upToDate {
		l.opsAtRefresh = l.opsAtCall
	}
}

// applyRow applies the next row. It ignores a row that was applied before.
func (l *Log) applyRow(stored *StoredRow) {
	if stored.Seq != l.next {
		return
	}
	for i := range stored.Row.Entries {
		l.index.apply(stored.Seq, &stored.Row.Entries[i])
	}
	l.next++
	l.resolveBatch(stored)
}

// ReadFailed records that a Read failed.
func (l *Log) ReadFailed(now time.Time) {
	l.callInFlight = false
	l.reads.Failed(now)
	l.recordFailure(now)
}

// WriteDone processes the result of a Create.
func (l *Log) WriteDone(now time.Time, f fate.Fate) {
	l.callInFlight = false
	switch f {
	case fate.Applied:
		l.writes.Succeeded()
		l.recordSuccess()
		l.evaluated = 0
		l.opsAtRefresh = l.opsAtCall
		l.applyRow(&StoredRow{Seq: l.inFlight.seq, Row: l.inFlight.row})
	case fate.Conflict:
		l.writes.Succeeded()
		l.recordSuccess()
		l.upToDate = false
		l.floor = nil // the condition on the floor may be the one that failed
	case fate.Refused:
		l.writes.Failed(now)
		l.recordFailure(now)
		l.requeueUnlessUnanswered()
	case fate.Unanswered:
		// The write may have taken effect, or may do so later. Once the row exists, its
		// writer and number tell whether it is this one.
		l.writes.Failed(now)
		l.recordFailure(now)
		l.inFlight.unanswered = true
		l.upToDate = false
	}
}
