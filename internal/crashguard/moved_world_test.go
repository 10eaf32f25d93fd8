package crashguard

import (
	"fmt"
	"time"
)

// worldNoticed is how long a node takes at most to learn that an upstream has crashed at which it has
// left attempts.
const worldNoticed = 600 * time.Millisecond

// worldNotice is when a node learns of a crash.
type worldNotice struct {
	at   time.Duration
	node int
	id   CrashID
}

func (e *worldEngine) crashID() CrashID { return NewCrashID(fmt.Sprint("engine", e.id)) }

const (
	// worldSlow is how long a slow sound attempt waits for its answer, worldMove when it is moved.
	worldSlow = 3 * time.Second
	worldMove = 100 * time.Millisecond
)

// moveAttempts moves attempts that have waited for long: the node leaves them, and the engine goes on
// with them.
func (w *world) moveAttempts(e *worldEngine) {
	for _, a := range e.attempts {
		g := w.guards[a.node]
		if a.moveAt == 0 || w.now < a.moveAt || a.left || a.orphaned || a.trial || a.movedFrom != 0 || len(g.Blocking(a.chain, w.time())) > 0 {
			continue
		}
		g.Leave(e.crashID(), a.chain, worldEpoch.Add(a.sent), w.time().Add(worldDeadline), w.time())
		again := *a
		a.left, again.movedFrom = true, e.crashID()
		w.send(&again)
	}
}

// worldDeadline is the time left of a request that is moved.
const worldDeadline = 1500 * time.Millisecond

// noticeCrashes lets nodes learn of crashes.
func (w *world) noticeCrashes() {
	rest := w.notices[:0]
	for _, n := range w.notices {
		if w.now < n.at {
			rest = append(rest, n)
		} else if w.guards[n.node].Crashed(n.id, w.time(), w.time()) {
			w.wake(n.node)
		}
	}
	w.notices = rest
}
