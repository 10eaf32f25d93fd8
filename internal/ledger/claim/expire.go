package claim

import "time"

// expire answers the operations whose time is up: those that were never sent
// are refused, those on their way are in doubt, and stay on their way.
func (l *Log) expire(now time.Time) {
	kept := l.pending[:0]
	judged := l.judged
	for i, op := range l.pending {
		if !l.over(now, &op) {
			kept = append(kept, op)
			continue
		}
		if i < judged {
			l.judged--
		}
		l.reply(&op, VerdictRefused, record{})
	}
	clear(l.pending[len(kept):])
	l.pending = kept
	l.expireFlight(now)
}

func (l *Log) expireFlight(now time.Time) {
	if l.flight == nil {
		return
	}
	kept := l.flight.ops[:0]
	for _, op := range l.flight.ops {
		if !l.over(now, &op) {
			kept = append(kept, op)
			continue
		}
		l.reply(&op, VerdictInDoubt, record{})
	}
	l.flight.ops = kept
}

// over says whether an operation has waited long enough: its time is up, or the
// table has failed for a while, also since it came. Its sender can ask another
// process then, which may reach the table, or tell its caller soon.
func (l *Log) over(now time.Time, op *Op) bool {
	if !now.Before(op.Deadline) {
		return true
	}
	return !l.failing.IsZero() && now.Sub(l.failing) >= l.settings.FailAfter && !l.failed.Before(op.came)
}

func (l *Log) noteFailure(now time.Time) {
	l.failed = now
	if l.failing.IsZero() {
		l.failing = now
	}
}

func (l *Log) succeeded() { l.failing = time.Time{} }

// deadline is the next one of an operation.
func (l *Log) deadline() time.Time {
	var first time.Time
	for i := range l.pending {
		first = earliest(first, l.pending[i].Deadline)
	}
	if l.flight != nil {
		for i := range l.flight.ops {
			first = earliest(first, l.flight.ops[i].Deadline)
		}
	}
	return first
}

// earliest takes a zero time for none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
