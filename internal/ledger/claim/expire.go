package claim

import "time"

// expire replies to operations that have waited long enough. Those that were never
// sent are refused. Those in flight are in doubt, as their batch may still be written.
func (l *Log) expire(now time.Time) {
	kept := l.pending[:0]
	evaluated := l.evaluated
	for i, op := range l.pending {
		if !l.expired(now, &op) {
			kept = append(kept, op)
			continue
		}
		if i < evaluated {
			l.evaluated--
		}
		l.reply(&op, VerdictRefused, record{})
	}
	clear(l.pending[len(kept):])
	l.pending = kept
	l.expireBatch(now)
}

func (l *Log) expireBatch(now time.Time) {
	if l.inFlight == nil {
		return
	}
	kept := l.inFlight.ops[:0]
	for _, op := range l.inFlight.ops {
		if !l.expired(now, &op) {
			kept = append(kept, op)
			continue
		}
		l.reply(&op, VerdictInDoubt, record{})
	}
	l.inFlight.ops = kept
}

// expired reports whether an operation has waited long enough. That is so after its
// deadline, or once the table has failed for LogSettings.FailAfter and also since the
// operation was added. The sender can then try another process, which may reach the
// table, or return an error to its caller early.
func (l *Log) expired(now time.Time, op *Op) bool {
	if !now.Before(op.Deadline) {
		return true
	}
	return !l.failingSince.IsZero() && now.Sub(l.failingSince) >= l.settings.FailAfter && !l.lastFailure.Before(op.addedAt)
}

func (l *Log) recordFailure(now time.Time) {
	l.lastFailure = now
	if l.failingSince.IsZero() {
		l.failingSince = now
	}
}

func (l *Log) recordSuccess() { l.failingSince = time.Time{} }

// nextDeadline returns the earliest deadline of all operations, or zero if there are
// none.
func (l *Log) nextDeadline() time.Time {
	var first time.Time
	for i := range l.pending {
		first = earliest(first, l.pending[i].Deadline)
	}
	if l.inFlight != nil {
		for i := range l.inFlight.ops {
			first = earliest(first, l.inFlight.ops[i].Deadline)
		}
	}
	return first
}

// earliest returns the earlier of two times, where zero means none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
