package suspect

import (
	"fmt"
	"time"
)

// faultInterval is the time between the end of one node's fault and the next one's. Two
// nodes that stop answering during one request, each after it crashed an upstream there,
// are not covered by the guarantee.
const faultInterval = 10 * time.Second

// scheduleFaults schedules the faults of a run until the given time.
func (w *world) scheduleFaults(until time.Duration) {
	w.after(w.between(500, 6000), func() {
		if w.now > until {
			w.lossRate = 0
			clear(w.cuts)
			return
		}
		w.scheduleFaults(until)
		switch w.random.IntN(5) {
		case 0:
			w.pauseOne()
		case 1:
			w.replaceOne()
		case 2:
			w.cutOne()
		case 3:
			w.crash(w.upstreams[w.random.IntN(len(w.upstreams))])
		}
	})
}

// victim returns a node for a fault of the given duration, or nil.
func (w *world) victim(duration time.Duration) *node {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	if w.now < w.nextFaultAt || n.dead || n.paused {
		return nil
	}
	w.nextFaultAt = w.now + duration + faultInterval
	return n
}

func (w *world) pauseOne() {
	duration := w.between(50, 15_000)
	n := w.victim(duration)
	if n == nil {
		return
	}
	n.paused = true
	w.logf("%s is paused", n.id)
	w.after(duration, func() {
		n.paused = false
		w.logf("%s resumes", n.id)
		steps := n.resume
		n.resume = nil
		// The delayed steps run in any order: the request may come before the alert.
		w.random.Shuffle(len(steps), func(i, j int) { steps[i], steps[j] = steps[j], steps[i] })
		for _, step := range steps {
			w.do(n, step)
		}
	})
}

// replaceOne loses a node with its state. Another one, with the same ID or a new one,
// starts, and the others learn of it late.
func (w *world) replaceOne() {
	n := w.victim(6 * time.Second)
	if n == nil {
		return
	}
	n.dead = true
	w.logf("%s is lost", n.id)
	id := n.id
	if w.random.IntN(2) == 0 {
		id = fmt.Sprintf("node-%d", len(w.nodes))
	}
	w.after(w.between(100, 4000), func() {
		fresh := w.addNode(id)
		w.logf("%s starts", id)
		fresh.t.SetPeers(w.listed(), w.time())
		w.flush(fresh)
		for _, other := range w.nodes {
			w.after(w.between(0, 3000), func() {
				w.do(other, func() { other.t.SetPeers(w.listed(), w.time()) })
			})
		}
	})
}

// cutOne drops the messages between two nodes for a while, in one or both directions.
func (w *world) cutOne() {
	a := w.nodes[w.random.IntN(len(w.nodes))]
	b := w.nodes[w.random.IntN(len(w.nodes))]
	if a == b || len(w.cuts) > 0 || len(w.listed()) < 3 {
		return
	}
	w.logf("%s and %s are cut", a.id, b.id)
	w.cuts[[2]string{a.id, b.id}] = true
	if w.random.IntN(2) == 0 {
		w.cuts[[2]string{b.id, a.id}] = true
	}
	w.after(w.between(100, 10_000), func() { clear(w.cuts) })
}
