package claim

import "github.com/hickorybank/hickorybank/internal/ledger/key"

// applyFloor skips the rows that the floor says were deleted.
func (l *Log) applyFloor() {
	if l.floor == nil {
		return
	}
	// All keys in the rows below the floor of an opaque shard are older than the
	// retention window, so these rows are not needed.
	if l.name.Kind == key.Opaque {
		l.next = max(l.next, l.floor.Seq)
	}
	if l.inFlight != nil && (l.deleted() || l.inFlight.seq < l.next) {
		l.abort()
	}
}

// deleted reports whether the log's rows were deleted because its keys are older than
// the retention window. A deleted log looks empty, so without this check all its keys
// would be granted again.
func (l *Log) deleted() bool {
	return l.name.Kind == key.Timed && l.floor != nil && l.floor.Bucket > l.name.Bucket
}

// abort ends a batch whose row lies below the floor. No try of it can take effect any
// more, since each was conditional on an older version of the floor. But an unanswered
// try may have taken effect before the row was deleted.
func (l *Log) abort() {
	b := l.inFlight
	l.inFlight = nil
	if !b.unanswered {
		l.requeue(b.ops)
		return
	}
	for i := range b.ops {
		l.reply(&b.ops[i], VerdictInDoubt, record{})
	}
}
