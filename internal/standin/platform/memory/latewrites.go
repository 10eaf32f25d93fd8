package memory

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
)

// lateWrite is an admitted write that takes effect when it is due, whether or
// not its caller still waits.
type lateWrite struct {
	service fault.Service
	due     time.Time
	// effect makes the change and reports whether there was one.
	effect func() bool
	done   bool
	took   bool
}

// lateWrites are the admitted writes in the order in which they fall due. The
// platform runs no goroutine: every call first settles what has fallen due, so
// nobody can see a state in which a due write is missing.
type lateWrites struct {
	queue []*lateWrite
}

// add puts the write behind all that fall due no later.
func (l *lateWrites) add(w *lateWrite) {
	i := len(l.queue)
	for i > 0 && l.queue[i-1].due.After(w.due) {
		i--
	}
	l.queue = slices.Insert(l.queue, i, w)
}

// settle lets every write due by now take effect, in order.
func (l *lateWrites) settle(now time.Time) {
	n := 0
	for n < len(l.queue) && !l.queue[n].due.After(now) {
		l.queue[n].took = l.queue[n].effect()
		l.queue[n].done = true
		n++
	}
	l.queue = slices.Delete(l.queue, 0, n)
}
