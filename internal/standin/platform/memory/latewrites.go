package memory

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
)

// lateWrite is an admitted write that takes effect when it is due, whether or not its
// caller is still waiting.
type lateWrite struct {
	service fault.Service
	due     time.Time
	// effect makes the change and reports whether the state changed.
	effect  func() bool
	done    bool
	applied bool
}

// lateWrites is the queue of admitted writes in the order of their due times. The
// platform has no goroutine: every call first applies the writes that are due, so no
// caller sees a state without them.
type lateWrites struct {
	queue []*lateWrite
}

// add inserts a write after all writes that are due at the same time or earlier.
func (l *lateWrites) add(w *lateWrite) {
	i := len(l.queue)
	for i > 0 && l.queue[i-1].due.After(w.due) {
		i--
	}
	l.queue = slices.Insert(l.queue, i, w)
}

// applyDue applies every write that is due at now or earlier, in order.
func (l *lateWrites) applyDue(now time.Time) {
	n := 0
	for n < len(l.queue) && !l.queue[n].due.After(now) {
		l.queue[n].applied = l.queue[n].effect()
		l.queue[n].done = true
		n++
	}
	l.queue = slices.Delete(l.queue, 0, n)
}
