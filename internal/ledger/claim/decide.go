package claim

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

// Ready returns what the log wants done now.
func (l *Log) Ready(now time.Time) Ready {
	l.expire(now)
	var r Ready
	if !l.busy {
		l.decide(now, &r)
	}
	r.Replies, l.replies = l.replies, nil
	r.Wake = earliest(r.Wake, l.deadline())
	return r
}

func (l *Log) decide(now time.Time, r *Ready) {
	if l.flight == nil && len(l.pending) == 0 {
		return
	}
	if !l.fresh || l.floor == nil {
		l.read(now, r)
		return
	}
	if l.flight == nil {
		l.judgePending()
	}
	if !l.fresh {
		l.read(now, r)
		return
	}
	if l.flight == nil && len(l.pending) == 0 {
		return
	}
	if !l.writes.Free(now) {
		r.Wake = l.writes.Next()
		return
	}
	if l.flight == nil {
		l.launch()
	}
	l.busy = true
	l.asked = l.adds
	l.writes.Took(now)
	r.Create = &Create{Seq: l.flight.seq, Row: l.flight.row, Floor: l.floor.Version}
}

func (l *Log) read(now time.Time, r *Ready) {
	if !l.reads.Free(now) {
		r.Wake = l.reads.Next()
		return
	}
	l.busy = true
	l.asked = l.adds
	l.reads.Took(now)
	r.Read = &Read{From: l.next, Floor: l.floor == nil}
}

// judgePending answers what needs no writing.
func (l *Log) judgePending() {
	kept := l.pending[:l.judged]
	for _, op := range l.pending[l.judged:] {
		v, r := l.judge(&op)
		if l.outdated(v, &op) {
			l.fresh = false
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
	l.judged = len(kept)
}

func (l *Log) judge(op *Op) (Verdict, record) {
	if l.deleted() {
		return VerdictTooOld, record{}
	}
	return l.index.judge(&op.Entry)
}

// outdated says whether a verdict may have been overtaken by rows that another
// process wrote: a retry would hear "running" long after the work was settled.
// The other verdicts are final, or are written under the row's condition.
func (l *Log) outdated(v Verdict, op *Op) bool {
	return (v == VerdictRunning || v == VerdictReused) && l.asOf < op.added
}

// launch makes a batch of pending operations. Of several with one key only the
// first goes: the others are judged by what it leaves.
func (l *Log) launch() {
	l.number++
	f := &flight{seq: l.next, row: Row{Writer: l.settings.Writer, Number: l.number}}
	seen := make(map[key.ID]bool, len(l.pending))
	size := 0
	var left []Op
	for i := range l.pending {
		op := l.pending[i]
		size += op.Entry.size()
		if seen[op.Entry.ID] || len(f.ops) >= l.settings.MaxEntries || (size > l.settings.MaxBytes && len(f.ops) > 0) {
			left = append(left, op)
			continue
		}
		seen[op.Entry.ID] = true
		f.ops = append(f.ops, op)
		f.row.Entries = append(f.row.Entries, op.Entry)
	}
	l.pending, l.judged = left, len(left)
	l.flight = f
}
