package rollout

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/membership"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// world is nodes, engines, a table and a configuration in virtual time.
type world struct {
	settings Settings
	guards   guards
	few      int // orders that are written at once; 0 is as usual
	random   *rand.Rand
	start    time.Time
	now      time.Time
	queue    queue
	order    int
	faults   faults

	// atOrder, if set, is told of each order that a node decides to send.
	atOrder func(*simNode, SendOrder)
	// lateFor, if set, keeps the next order that long on the wire.
	lateFor time.Duration

	row       simRow
	revisions []*revision
	nodes     []*simNode
	engines   []*simEngine
	view      *membership.View
	log       strings.Builder
	verbose   bool
	// broken is the first invariant that did not hold.
	broken string
	strays int
	// mostLoads is the most loads at one time; with paceUnchecked it may be more
	// than the settings allow.
	mostLoads     int
	paceUnchecked bool
}

// faults are in force for everything that happens.
type faults struct {
	tableDown  bool
	inForceOut bool
	// loseAcks, lateWrites, lateOrders, loseOrderAcks and failLoads are
	// probabilities.
	loseAcks, lateWrites, lateOrders, loseOrderAcks, failLoads float64
	// pauses is the probability that a node is paused between an order's
	// decision and its way out.
	pauses float64
	// late is how late late writes and orders are; load is how long a load takes.
	late, load time.Duration
}

// revision is one configuration and when it is in force everywhere.
type revision struct {
	snapshot *config.Snapshot
	at       time.Time
	inForce  time.Time
}

// bringIn is how long a revision takes until it is in force.
const bringIn = 3 * time.Second

func newWorld(seed uint64, s Settings, g guards) *world {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &world{
		settings: s.WithDefaults(), guards: g, random: rand.New(rand.NewPCG(seed, 1)),
		start: start, now: start, faults: faults{load: 3 * time.Second},
	}
}

type timer struct {
	at    time.Time
	order int
	do    func()
}

type queue []timer

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *queue) Pop() any {
	old := *q
	t := old[len(old)-1]
	*q = old[:len(old)-1]
	return t
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, timer{w.now.Add(d), w.order, do})
}

// runUntil lets the world go on until the time or the first broken invariant.
func (w *world) runUntil(end time.Time) {
	for len(w.queue) > 0 && w.broken == "" && !w.queue[0].at.After(end) {
		t := heap.Pop(&w.queue).(timer)
		w.now = t.at
		t.do()
	}
	w.now = end
}

func (w *world) violate(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf("%v: ", w.now.Sub(w.start)) + fmt.Sprintf(format, args...)
	}
}

func (w *world) note(format string, args ...any) {
	if w.verbose {
		fmt.Fprintf(&w.log, "%v ", w.now.Sub(w.start).Round(100*time.Millisecond))
		fmt.Fprintf(&w.log, format+"\n", args...)
	}
}

func (w *world) chance(p float64) bool { return p > 0 && w.random.Float64() < p }

// hop is the time of a message one way.
func (w *world) hop() time.Duration {
	return time.Millisecond + time.Duration(w.random.Int64N(int64(20*time.Millisecond)))
}

// adopt brings in a configuration now.
func (w *world) adopt(s *config.Snapshot) {
	r := &revision{snapshot: s, at: w.now, inForce: w.now.Add(bringIn)}
	w.revisions = append(w.revisions, r)
	w.note("revision %d", s.Revision)
	for _, n := range w.nodes {
		n.learn(r)
	}
	for _, e := range w.engines {
		e.drawWork(r)
	}
}

func (w *world) latest() *revision { return w.revisions[len(w.revisions)-1] }

// inForce is the newest revision in force everywhere.
func (w *world) inForce() *revision {
	for _, r := range slices.Backward(w.revisions) {
		if !w.now.Before(r.inForce) {
			return r
		}
	}
	return nil
}

// withdrawn says whether the withdrawal of a version is in force: no newer
// revision, in force or not, takes it back.
func (w *world) withdrawn(version string) bool {
	in := w.inForce()
	if in == nil {
		return false
	}
	for _, r := range w.revisions[in.snapshot.Revision-1:] {
		if r.snapshot.Version(version).State != config.Withdrawn {
			return false
		}
	}
	return true
}

// look renews the nodes' view of the engines.
func (w *world) look() {
	v := &membership.View{}
	for _, e := range w.engines {
		state := membership.Live
		if !e.up {
			state = membership.Suspect
		}
		v.Engines = append(v.Engines, membership.Member{
			VM:    platform.VM{ID: e.id, Addr: e.id, Role: platform.RoleEngine, FailureDomain: e.domain},
			State: state,
		})
	}
	w.view = v
}

// lookSoon renews the view after what a node needs to notice a change.
func (w *world) lookSoon() { w.after(time.Second, w.look) }
