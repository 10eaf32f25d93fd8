package claim

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/fate"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/ledger/pace"
)

// Log is one append-only log of claims, as one process sees it. Any number of
// processes may hold the same log. What keeps them apart is the table: row n
// is created only if absent, and only by a process that has read the rows
// before n and judged its entries by them. A process that lost the race reads
// the winner's row and judges again. So a paused process that wakes needs no
// care: what it writes next fails, unless nobody wrote meanwhile.
type Log struct {
	settings LogSettings
	name     key.Log
	index    *index
	floor    *Floor // nil when it is not known
	next     uint64 // the first row that was not read
	fresh    bool   // no row is known to be missing
	busy     bool   // a call is out
	// adds counts the operations; asked is the count when the call went out,
	// and asOf the one at which the index was last known to be the newest. A
	// clock would not do: what happens within one tick of it has an order too.
	adds    uint64
	asked   uint64
	asOf    uint64
	writes  *pace.Pace
	reads   *pace.Pace
	failing time.Time // since when no call has succeeded
	failed  time.Time // when the last call failed

	pending []Op
	// judged is how many of pending were judged by the present index.
	judged  int
	flight  *flight
	number  uint64
	replies []Reply
	used    time.Time
}

// NewLog returns a log of which nothing was read yet. The floor may be one that
// was read before, or nil; under an old one no write takes effect.
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

// Add takes an operation; its reply comes in a later Ready.
func (l *Log) Add(now time.Time, op Op) {
	l.used = now
	op.Entry.At = now.UnixMilli()
	l.adds++
	op.added = l.adds
	op.came = now
	l.pending = append(l.pending, op)
}

// Floor is the floor that the log goes by, or nil.
func (l *Log) Floor() *Floor { return l.floor }

// Idle says whether the log could be dropped from memory: nobody waits.
func (l *Log) Idle() bool {
	return !l.busy && l.flight == nil && len(l.pending) == 0 && len(l.replies) == 0
}

// Used is when the last operation came.
func (l *Log) Used() time.Time { return l.used }

// Keys is the number of keys that the log holds in memory.
func (l *Log) Keys() int { return len(l.index.records) }

// SetGap changes the time between two writes, and how many may go before it.
func (l *Log) SetGap(gap time.Duration, burst int) {
	l.writes.SetFloor(gap)
	l.writes.SetBurst(burst)
}

// RowsRead takes the result of a Read; the floor is nil if it was not asked
// for. More says that further rows may follow.
func (l *Log) RowsRead(floor *Floor, rows []StoredRow, more bool) {
	l.busy = false
	l.reads.Succeeded()
	l.succeeded()
	l.judged = 0
	if floor != nil {
		l.floor = floor
	}
	l.takeFloor()
	for i := range rows {
		l.take(&rows[i])
	}
	l.fresh = !more
	if l.fresh {
		l.asOf = l.asked
	}
}

// take applies the next row. A row that was read before is passed over.
func (l *Log) take(stored *StoredRow) {
	if stored.Seq != l.next {
		return
	}
	for i := range stored.Row.Entries {
		l.index.apply(stored.Seq, &stored.Row.Entries[i])
	}
	l.next++
	l.resolve(stored)
}

// ReadFailed notes that a Read got no answer.
func (l *Log) ReadFailed(now time.Time) {
	l.busy = false
	l.reads.Failed(now)
	l.noteFailure(now)
}

// WriteDone takes the result of a Create.
func (l *Log) WriteDone(now time.Time, f fate.Fate) {
	l.busy = false
	switch f {
	case fate.Applied:
		l.writes.Succeeded()
		l.succeeded()
		l.judged = 0
		l.asOf = l.asked
		l.take(&StoredRow{Seq: l.flight.seq, Row: l.flight.row})
	case fate.Conflict:
		l.writes.Succeeded()
		l.succeeded()
		l.fresh = false
		l.floor = nil // it may be the floor that failed the write
	case fate.Refused:
		l.writes.Failed(now)
		l.noteFailure(now)
		l.landUnlessDoubted()
	case fate.Unanswered:
		// The write may have taken effect, or may yet. The row tells whose
		// it is by its writer and number, once there is one.
		l.writes.Failed(now)
		l.noteFailure(now)
		l.flight.doubted = true
		l.fresh = false
	}
}
