package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// An engine loads a version whose withdrawal is in force. The driver decides on
// the load while its configuration is still good, stands still for a second,
// and sends it; meanwhile the withdrawal has come into force everywhere. The
// row is still the driver's, so that only the configuration can tell.
func TestOrderOfAnOlderConfiguration(t *testing.T) {
	for _, guarded := range []bool{true, false} {
		is := is.New(t)
		w := newWorld(1, simSettings(0), guards{noRevision: !guarded})
		w.addEngine("e0", "d0", false)
		w.look()
		n := w.addNode()
		n.revision = &revision{snapshot: compile("ordinary", "m: a serving"), inForce: w.now}
		w.revisions = append(w.revisions, n.revision)
		w.pauseAtOrder(upstream.LoadVersion, time.Second, func() {
			s := compile("ordinary", "m: a withdrawn")
			s.Revision = 2
			w.revisions = append(w.revisions, &revision{snapshot: s, at: w.now, inForce: w.now.Add(500 * time.Millisecond)})
		})
		w.runUntil(w.start.Add(time.Minute))
		is.Equal(w.broken == "", guarded)
		is.Equal(w.latest().snapshot.Version("a").State, config.Withdrawn)
	}
}

// pauseAtOrder pauses the node between the decision on its first such order
// and the sending of it.
func (w *world) pauseAtOrder(action upstream.OrderAction, pause time.Duration, then func()) {
	w.atOrder = func(n *simNode, o SendOrder) {
		if o.Order.Action != action {
			return
		}
		w.atOrder = nil
		n.pause(pause)
		then()
	}
}
