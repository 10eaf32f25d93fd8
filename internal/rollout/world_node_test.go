package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// simNode simulates the driver of one entry node.
type simNode struct {
	w       *world
	id      string
	rank    int
	starts  int
	machine *Machine
	down    bool
	// pausedUntil delays all steps of the node.
	pausedUntil time.Time
	revision    *revision
	// crashAt is the number of the action at which the node crashes; 0 means never. With
	// crashAfterAction the action still takes effect, and its answer is lost.
	crashAt          int
	crashAfterAction bool
	performed        int
}

func (w *world) addNode() *simNode {
	n := &simNode{w: w, id: fmt.Sprintf("n%d", len(w.nodes)+1), rank: len(w.nodes)}
	w.nodes = append(w.nodes, n)
	n.boot()
	return n
}

func (n *simNode) boot() {
	n.starts++
	n.down = false
	n.machine = NewMachine(n.w.settings, n.id, fmt.Sprintf("%s.%d", n.id, n.starts))
	n.machine.disabled = n.w.guards
	if n.w.immediateOrders > 0 {
		n.machine.immediateOrders = n.w.immediateOrders
	}
	if len(n.w.revisions) > 0 {
		n.revision = n.w.latest()
	}
	n.tick(n.starts)
}

func (n *simNode) beforeSend(o SendOrder) {
	if n.w.onOrder != nil {
		n.w.onOrder(n, o)
	}
	if n.w.chance(n.w.faults.pauses) {
		n.pause(n.w.drawPause())
	}
}

// close releases the row; another process starts at once.
func (n *simNode) close() {
	if n.down || n.pausedUntil.After(n.w.now) {
		return
	}
	n.w.logf("%s closes", n.id)
	write, ok := n.machine.Release(n.w.now)
	n.boot()
	if ok {
		n.w.after(n.w.latency(), func() { n.w.commit(write) })
	}
}

func (n *simNode) pause(d time.Duration) {
	n.w.logf("%s is paused for %v", n.id, d.Round(time.Millisecond))
	n.pausedUntil = n.w.now.Add(d)
}

// drawPause returns a time between a millisecond and a minute, with an even distribution
// of its logarithm.
func (w *world) drawPause() time.Duration {
	return time.Duration(float64(time.Minute) * math.Pow(2, -16*w.random.Float64()))
}

// holder is the node that the row names, or nil.
func (w *world) holder() *simNode {
	for _, n := range w.nodes {
		if n.id == w.row.record.Holder {
			return n
		}
	}
	return nil
}

func (n *simNode) crash() {
	n.w.logf("%s crashes", n.id)
	n.down = true
	n.starts++
}

// tick repeats until the process ends.
func (n *simNode) tick(start int) {
	n.run(start, func() {
		n.step(Tick{View: n.w.view, Snapshot: n.snapshot(), Fresh: n.fresh(), Rank: n.rank})
		n.w.after(n.w.settings.Tick+n.w.latency(), func() { n.tick(start) })
	})
}

// run calls do in the process once it is not paused.
func (n *simNode) run(start int, do func()) {
	if n.starts != start {
		return
	}
	if wait := n.pausedUntil.Sub(n.w.now); wait > 0 {
		n.w.after(wait, func() { n.run(start, do) })
		return
	}
	do()
}

func (n *simNode) step(ev Event) {
	start := n.starts
	for _, a := range n.machine.Step(n.w.now, ev) {
		if o, ok := a.(SendOrder); ok {
			n.beforeSend(o)
		}
		n.w.after(time.Millisecond, func() {
			n.run(start, func() { n.perform(a) })
		})
	}
}

func (n *simNode) answer(after time.Duration, ev Event) {
	start := n.starts
	n.w.after(after, func() {
		n.run(start, func() { n.step(ev) })
	})
}

func (n *simNode) perform(a Action) {
	n.performed++
	if n.performed != n.crashAt {
		n.do(a)
		return
	}
	if n.crashAfterAction {
		n.do(a)
	}
	n.crash()
	n.w.after(10*time.Second, n.boot)
}

func (n *simNode) do(a Action) {
	switch a := a.(type) {
	case ReadRow:
		n.w.readRow(n)
	case WriteRow:
		n.w.writeRow(n, a)
	case ReadEngine:
		n.w.readEngine(n, a)
	case SendOrder:
		n.send(a)
	case AskInForce:
		in := !n.w.faults.inForceOut && !n.w.now.Before(n.w.revisions[a.Revision-1].inForce)
		n.answer(n.w.latency(), InForceAnswer{Revision: a.Revision, InForce: in})
	}
}

// send has the effect of Driver.sendOrder.
func (n *simNode) send(a SendOrder) {
	current := a.Revision == 0 || n.fresh() && n.revision.snapshot.Revision == a.Revision
	if !current || !n.w.now.Before(a.Before) {
		n.answer(0, OrderAnswer{Engine: a.Engine, Began: a.Began, Result: OrderNotSent})
		return
	}
	n.w.sendOrder(n, a)
}

// applyLater applies a revision within applyTime.
func (n *simNode) applyLater(r *revision) {
	n.w.after(n.w.randomDuration(applyTime), func() {
		n.run(n.starts, func() {
			if n.revision == nil || r.snapshot.Revision > n.revision.snapshot.Revision {
				n.revision = r
			}
		})
	})
}

// fresh reports whether no newer revision than the node's is in force.
func (n *simNode) fresh() bool {
	in := n.w.inForce()
	return n.revision != nil && (in == nil || n.revision.snapshot.Revision >= in.snapshot.Revision)
}

// checkSent checks an order as it leaves the node.
func (n *simNode) checkSent(o upstream.Order, engine string) {
	w := n.w
	if w.row.record.Run != n.machine.run && w.now.Sub(w.row.lostAt) > w.settings.OwnershipTTL {
		w.violatef("%s orders %s %s at %s, displaced since %v", n.id, o.Action, o.Version, engine, w.now.Sub(w.row.lostAt))
	}
	switch {
	case o.Action == upstream.LoadVersion && w.withdrawn(o.Version):
		w.violatef("%s loads %s at %s after its withdrawal is in force", n.id, o.Version, engine)
	case o.Action == upstream.UnloadVersion && n.snapshot().Version(o.Version).State == config.Withdrawn && w.now.Before(n.revision.inForce):
		w.violatef("%s unloads %s at %s before its withdrawal is in force", n.id, o.Version, engine)
	}
}

func (n *simNode) snapshot() *config.Snapshot {
	if n.revision == nil {
		return nil
	}
	return n.revision.snapshot
}
