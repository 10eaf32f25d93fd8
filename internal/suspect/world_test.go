package suspect

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

var epoch = time.Unix(1_700_000_000, 0)

// world simulates nodes, upstreams and callers in virtual time, with messages that are
// lost, delayed and repeated, pauses, cuts and replacements. It is determined by its
// seed.
type world struct {
	random   *rand.Rand
	now      time.Duration
	events   eventQueue
	count    uint64
	disabled rule

	nodes       []*node
	upstreams   []*engine
	lossRate    float64
	cuts        map[[2]string]bool
	born        uint64
	nextFaultAt time.Duration // no node has a new fault before it

	callers []*caller
	log     []string
	keepLog bool
}

// node is one entry node with its tracker.
type node struct {
	id           string
	t            *Tracker
	paused       bool
	dead         bool
	resume       []func()
	waits        map[string]func(Decision)
	heldFailures map[string]func()
}

// engine is one upstream.
type engine struct {
	id    string
	epoch uint64
	down  bool
	runs  map[string]*run
}

// run is an attempt that runs at an upstream.
type run struct {
	attempt string
	node    *node
	broken  func()
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].seq < a[j].seq)
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	last := len(*a) - 1
	item := (*a)[last]
	*a = (*a)[:last]
	return item
}

func newWorld(seed uint64, nodes int, disabled rule) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 7)), cuts: map[[2]string]bool{}, disabled: disabled}
	w.lossRate = 0.3 * w.random.Float64()
	if nodes == 0 {
		nodes = 3 + w.random.IntN(6)
	}
	for i := range nodes {
		w.addNode(fmt.Sprintf("node-%d", i))
	}
	for i := range 6 {
		w.upstreams = append(w.upstreams, &engine{id: fmt.Sprintf("engine-%d", i), runs: map[string]*run{}})
	}
	for _, n := range w.nodes {
		n.t.SetPeers(w.listed(), w.time())
		w.flush(n)
	}
	return w
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) after(d time.Duration, do func()) {
	w.count++
	heap.Push(&w.events, event{at: w.now + d, seq: w.count, do: do})
}

// between draws a duration between two numbers of milliseconds.
func (w *world) between(low, high int) time.Duration {
	return time.Duration(low+w.random.IntN(high-low+1)) * time.Millisecond
}

func (w *world) logf(format string, args ...any) {
	if w.keepLog {
		w.log = append(w.log, fmt.Sprintf("%8v ", w.now.Round(time.Millisecond))+fmt.Sprintf(format, args...))
	}
}

func (w *world) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		item := heap.Pop(&w.events).(event)
		w.now = item.at
		item.do()
	}
	w.now = end
}

func (w *world) addNode(id string) *node {
	w.born++
	n := &node{id: id, waits: map[string]func(Decision){}, heldFailures: map[string]func(){}}
	n.t = New(Settings{Self: id, Born: w.born, MaxRun: 30 * time.Second, RecordTTL: 2 * time.Minute, MaxConvictionTTL: maxConviction, disabled: w.disabled}, w.time())
	w.nodes = append(w.nodes, n)
	w.after(w.between(0, 50), func() { w.tick(n) })
	return n
}

func (w *world) listed() []string {
	var ids []string
	for _, n := range w.nodes {
		if !n.dead {
			ids = append(ids, n.id)
		}
	}
	return ids
}

func (w *world) tick(n *node) {
	if n.dead {
		return
	}
	w.after(50*time.Millisecond, func() { w.tick(n) })
	w.do(n, func() {
		if w.random.IntN(30) == 0 {
			w.poll(n)
		}
		n.t.Tick(w.time())
	})
}

// poll reads the load reports of the upstreams; the answers are delayed.
func (w *world) poll(n *node) {
	asOf := w.time()
	for _, u := range w.upstreams {
		if u.down {
			continue
		}
		epoch := u.epoch
		w.after(w.between(1, 1500), func() {
			w.do(n, func() { n.t.Observe(u.id, epoch, asOf, w.time()) })
		})
	}
}

// do runs a step of a node, or delays it until the node's pause ends.
func (w *world) do(n *node, step func()) {
	if n.dead {
		return
	}
	if n.paused {
		n.resume = append(n.resume, step)
		return
	}
	step()
	w.flush(n)
}

func (w *world) flush(n *node) {
	ready := n.t.Ready()
	for _, m := range ready.Messages {
		w.transmit(m)
	}
	for _, d := range ready.Decisions {
		if decided := n.waits[d.Attempt]; decided != nil {
			delete(n.waits, d.Attempt)
			w.do(n, func() { decided(d) })
		}
	}
	for _, a := range ready.Reportable {
		if report := n.heldFailures[a]; report != nil {
			delete(n.heldFailures, a)
			report()
		}
	}
}

func (w *world) transmit(m Message) {
	copies := 1
	if w.random.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		if w.random.Float64() < w.lossRate {
			continue
		}
		delay := w.between(1, 5)
		if w.random.IntN(20) == 0 {
			delay = w.between(5, 250)
		}
		w.after(delay, func() { w.deliver(m) })
	}
}

func (w *world) deliver(m Message) {
	if w.cuts[[2]string{m.From, m.To}] {
		return
	}
	for _, n := range w.nodes {
		if n.id == m.To && !n.dead {
			w.do(n, func() { n.t.Step(m, w.time()) })
			return
		}
	}
}

// randomUpstream draws an upstream.
func (w *world) randomUpstream() *engine { return w.upstreams[w.random.IntN(len(w.upstreams))] }

// send starts an attempt at an upstream, if that is up and the tracker allows it.
func (w *world) send(n *node, u *engine, attempt string, f request.Fingerprint, broken func()) bool {
	if u.down {
		return false
	}
	if !n.t.Started(attempt, f, u.id, w.time()) {
		w.logf("%s may not start at %s", attempt, n.id)
		return false
	}
	u.runs[attempt] = &run{attempt: attempt, node: n, broken: broken}
	return true
}

// crash stops an upstream for a while; the attempts that run there fail.
func (w *world) crash(u *engine) {
	if u.down {
		return
	}
	u.down = true
	w.logf("%s crashes in epoch %d", u.id, u.epoch)
	for _, c := range w.callers { // in a fixed order
		for _, a := range c.attempts {
			if r := u.runs[a]; r != nil {
				delete(u.runs, a)
				w.after(w.between(1, 50), func() { w.do(r.node, r.broken) })
			}
		}
	}
	clear(u.runs)
	w.after(w.between(200, 3000), func() {
		u.down = false
		u.epoch++
	})
}
