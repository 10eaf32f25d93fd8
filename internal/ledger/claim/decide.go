package claim

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

// Ready returns the call to make now, if any, and the replies since the last call of
// Ready.
func (l *Log) Ready(now time.Time) Ready {
	l.expire(now)
	var r Ready
	if !l.callInFlight {
		l.decide(now, &r)
	}
	r.Replies, l.replies = l.replies, nil
	r.Wake = earliest(r.Wake, l.nextDeadline())
	return r
}

func (l *Log) decide(now time.Time, r *Ready) {
	if l.inFlight == nil && len(l.pending) == 0 {
		return
	}
	if !l.upToDate || l.floor == nil {
		l.startRead(now, r)
		return
	}
	if l.inFlight == nil {
		l.evaluatePending()
	}
	if !l.upToDate {
		l.startRead(now, r)
		return
	}
	if l.inFlight == nil && len(l.pending) == 0 {
		return
	}
	if !l.writes.Allowed(now) {
		r.Wake = l.writes.Next()
		return
	}
	if l.inFlight == nil {
		l.startBatch()
	}
	l.callInFlight = true
	l.opsAtCall = l.opsAdded
	l.writes.Sent(now)
	r.Create = &Create{Seq: l.inFlight.seq, Row: l.inFlight.row, Floor: l.floor.Version}
}

func (l *Log) startRead(now time.Time, r *Ready) {
	if !l.reads.Allowed(now) {
		r.Wake = l.reads.Next()
		return
	}
	l.callInFlight = true
	l.opsAtCall = l.opsAdded
	l.reads.Sent(now)
	r.Read = &Read{From: l.next, Floor: l.floor == nil}
}

// evaluatePending replies to pending operations that need no write.
func (l *Log) evaluatePending() {
	kept := l.pending[:l.evaluated]
	for _, op := range l.pending[l.evaluated:] {
		v, r := l.evaluate(&op)
		if l.mayBeStale(v, &op) {
			l.upToDate = false
			v = verdictWrite
		}
		if v == verdictWrite {
			kept = append(kept, op)
			continue
		}
		l.reply(&op, v, r)
	}
	clear(l.pending[len(kept):])
	l.pending = kept
	l.evaluated = len(kept)
}

func (l *Log) evaluate(op *Op) (Verdict, record) {
	if l.deleted() {
		return VerdictTooOld, record{}
	}
	return l.index.evaluate(&op.Entry)
}

// mayBeStale reports whether rows that another process wrote may have changed the
// verdict. Without this check, a retry could get "running" long after the work was
// settled. The other verdicts are final, or are confirmed by a conditional write.
func (l *Log) mayBeStale(v Verdict, op *Op) bool {
	return (v == VerdictRunning || v == VerdictReused) && l.opsAtRefresh < op.serial
}

// startBatch makes a batch of pending operations. It contains only the first one of
// each key, because the others must be evaluated against its result.
func (l *Log) startBatch() {
	l.batchNumber++
	b := &batch{seq: l.next, row: Row{Writer: l.settings.Writer, Number: l.batchNumber}}
	seen := make(map[key.ID]bool, len(l.pending))
	size := 0
	var left []Op
	for i := range l.pending {
		op := l.pending[i]
		size += op.Entry.size()
		if seen[op.Entry.ID] || len(b.ops) >= l.settings.MaxEntries || (size > l.settings.MaxBytes && len(b.ops) > 0) {
			left = append(left, op)
			continue
		}
		seen[op.Entry.ID] = true
		b.ops = append(b.ops, op)
		b.row.Entries = append(b.row.Entries, op.Entry)
	}
	l.pending, l.evaluated = left, len(left)
	l.inFlight = b
}
