package claim

import "github.com/hickorybank/hickorybank/internal/ledger/key"

// takeFloor passes over what the shard says was deleted.
func (l *Log) takeFloor() {
	if l.floor == nil {
		return
	}
	// The rows below the floor of an opaque shard were deleted because their
	// keys are older than the window; nothing in them is still needed.
	if l.name.Kind == key.Opaque {
		l.next = max(l.next, l.floor.Seq)
	}
	if l.flight != nil && (l.deleted() || l.flight.seq < l.next) {
		l.abort()
	}
}

// deleted says whether the log's rows are deleted, since its keys are older
// than the window. A deleted log looks empty: without this it would grant all
// its keys again.
func (l *Log) deleted() bool {
	return l.name.Kind == key.Timed && l.floor != nil && l.floor.Bucket > l.name.Bucket
}

// abort gives up a flight whose place was deleted. No sending of it can take
// effect any more, since each was under an older floor; but a doubted one may
// have, before its row was deleted.
func (l *Log) abort() {
	f := l.flight
	l.flight = nil
	if !f.doubted {
		l.requeue(f.ops)
		return
	}
	for i := range f.ops {
		l.reply(&f.ops[i], VerdictInDoubt, record{})
	}
}
