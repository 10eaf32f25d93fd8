package confsync

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// world simulates cores in virtual time, with a table, a VM list, a network and nodes that can
// be cut off, paused, restarted and replaced.
type world struct {
	now      time.Duration
	seq      int
	queue    timeline
	random   *rand.Rand
	settings Settings
	rules    rules
	net      network
	table    simTable
	vms      simVMs
	nodes    []*simNode
	byAddr   map[string]*simNode
	reported uint64 // newest revision reported in force
	answers  []Confirmation
	counts   counts
	failure  string
	broken   invariant
	trace    []string
	tracing  bool
	// unchecked runs verify no invariants: they only measure.
	unchecked bool
	kinds     []int // the kinds of faults of this run
}

// counts are the totals over all nodes.
type counts struct {
	steps, headReads, docReads, listReads, waits, surveys int
	// samples counts samples of nodes that have admitted work, refusing those of them in
	// which the node refused work.
	samples, refusing int
}

func newWorld(seed uint64, s Settings) *world {
	s = s.WithDefaults()
	s.Seed = seed
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), settings: s, rules: defaultRules(), byAddr: map[string]*simNode{}}
	w.net.minLatency, w.net.maxLatency = 200*time.Microsecond, 2*time.Millisecond
	w.table.minLatency, w.table.maxLatency = time.Millisecond, 8*time.Millisecond
	w.table.stored = []time.Duration{0}
	return w
}

func (w *world) note(format string, args ...any) {
	if w.tracing {
		w.trace = append(w.trace, fmt.Sprintf("%8.3fs ", w.now.Seconds())+fmt.Sprintf(format, args...))
	}
}

func (w *world) fail(broken invariant, format string, args ...any) {
	if w.failure == "" {
		w.broken = broken
		w.failure = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
		w.note("FAILED %s", w.failure)
	}
}

// between returns a random duration.
func (w *world) between(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(w.random.Int64N(int64(most-least)))
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, timed{at: w.now + d, seq: w.seq, do: do})
}

// runUntil advances virtual time and verifies the invariants after each step.
func (w *world) runUntil(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end && w.failure == "" {
		next := heap.Pop(&w.queue).(timed)
		w.now = next.at
		next.do()
		if !w.unchecked {
			w.check()
		}
	}
	w.now = max(w.now, end)
}

func (w *world) run(d time.Duration) { w.runUntil(w.now + d) }

// addNode starts a node with a new ID; the list shows it after its lag.
func (w *world) addNode(id, domain string) *simNode {
	n := w.newNode(id, domain)
	w.vms.change(w.now, append(w.vms.last(), n.vm))
	n.start()
	return n
}

func (w *world) newNode(id, domain string) *simNode {
	vm := platform.VM{ID: id, Role: platform.RoleEntry, Addr: id, Peer: id, FailureDomain: domain, State: platform.Live}
	n := &simNode{w: w, vm: vm}
	w.nodes = append(w.nodes, n)
	w.byAddr[id] = n
	return n
}

// accept stores a new revision.
func (w *world) accept() uint64 {
	w.table.stored = append(w.table.stored, w.now)
	w.note("revision %d is stored", w.table.head())
	return w.table.head()
}

type timed struct {
	at  time.Duration
	seq int
	do  func()
}

type timeline []timed

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(timed)) }
func (t *timeline) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timed{}
	*t = old[:len(old)-1]
	return last
}
