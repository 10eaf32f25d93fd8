package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// No version may be loaded once its withdrawal is in force. The driver decides on the
// load under the old configuration, is paused for a second, and then sends it. Meanwhile
// the withdrawal has come into force everywhere. The row is still the driver's, so only
// the check of the revision stops the order.
func TestOrderOfAnOlderConfigurationIsNotSent(t *testing.T) {
	for _, checked := range []bool{true, false} {
		is := is.New(t)
		w := newWorld(1, simSettings(0), disabledRules{noRevisionCheck: !checked})
		w.addEngine("e0", "d0", false)
		w.updateView()
		n := w.addNode()
		n.revision = &revision{snapshot: compile("ordinary", "m: a serving"), inForce: w.now}
		w.revisions = append(w.revisions, n.revision)
		w.pauseAtOrder(upstream.LoadVersion, time.Second, func() {
			s := compile("ordinary", "m: a withdrawn")
			s.Revision = 2
			w.revisions = append(w.revisions, &revision{snapshot: s, at: w.now, inForce: w.now.Add(500 * time.Millisecond)})
		})
		w.runUntil(w.start.Add(time.Minute))
		is.Equal(w.violation == "", checked)
		is.Equal(w.latest().snapshot.Version("a").State, config.Withdrawn)
	}
}

// pauseAtOrder pauses the node between the decision on its first order of the action and
// the sending of it, and calls callback.
func (w *world) pauseAtOrder(action upstream.OrderAction, pause time.Duration, callback func()) {
	w.onOrder = func(n *simNode, o SendOrder) {
		if o.Order.Action != action {
			return
		}
		w.onOrder = nil
		n.pause(pause)
		callback()
	}
}
