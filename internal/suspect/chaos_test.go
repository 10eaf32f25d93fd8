package suspect

import (
	"fmt"
	"time"
)

// troubleGap is the time between the end of one node's trouble and the next
// one's. Two nodes that fall silent within the life of one request, each after
// it took an upstream there, are beyond what is promised.
const troubleGap = 10 * time.Second

// stir starts the faults of a run; they stop at the given time.
func (w *world) stir(until time.Duration) {
	w.after(w.between(500, 6000), func() {
		if w.now > until {
			w.loss = 0
			clear(w.cuts)
			return
		}
		w.stir(until)
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

// victim is a node that trouble may come to, or nil.
func (w *world) victim(lasting time.Duration) *node {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	if w.now < w.trouble || n.dead || n.paused {
		return nil
	}
	w.trouble = w.now + lasting + troubleGap
	return n
}

func (w *world) pauseOne() {
	lasting := w.between(50, 15_000)
	n := w.victim(lasting)
	if n == nil {
		return
	}
	n.paused = true
	w.note("%s is paused", n.id)
	w.after(lasting, func() {
		n.paused = false
		w.note("%s goes on", n.id)
		steps := n.resume
		n.resume = nil
		// What was due first runs in any order: the request may come
		// before the news.
		w.random.Shuffle(len(steps), func(i, j int) { steps[i], steps[j] = steps[j], steps[i] })
		for _, step := range steps {
			w.do(n, step)
		}
	})
}

// replaceOne loses a node with all that it knows; another one, of the same ID
// or a new one, comes up, and the others hear of it late.
func (w *world) replaceOne() {
	n := w.victim(6 * time.Second)
	if n == nil {
		return
	}
	n.dead = true
	w.note("%s is lost", n.id)
	id := n.id
	if w.random.IntN(2) == 0 {
		id = fmt.Sprintf("node-%d", len(w.nodes))
	}
	w.after(w.between(100, 4000), func() {
		fresh := w.addNode(id)
		w.note("%s comes up", id)
		fresh.t.SetPeers(w.listed(), w.time())
		w.flush(fresh)
		for _, other := range w.nodes {
			w.after(w.between(0, 3000), func() {
				w.do(other, func() { other.t.SetPeers(w.listed(), w.time()) })
			})
		}
	})
}

// cutOne keeps messages between two nodes from passing, in one or both ways.
func (w *world) cutOne() {
	a := w.nodes[w.random.IntN(len(w.nodes))]
	b := w.nodes[w.random.IntN(len(w.nodes))]
	if a == b || len(w.cuts) > 0 || len(w.listed()) < 3 {
		return
	}
	w.note("%s and %s are cut", a.id, b.id)
	w.cuts[[2]string{a.id, b.id}] = true
	if w.random.IntN(2) == 0 {
		w.cuts[[2]string{b.id, a.id}] = true
	}
	w.after(w.between(100, 10_000), func() { clear(w.cuts) })
}
