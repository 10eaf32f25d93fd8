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

// world simulates nodes, engines, a table and a configuration in virtual time.
type world struct {
	settings        Settings
	guards          disabledRules
	immediateOrders int // Machine.immediateOrders; 0 means the default
	random          *rand.Rand
	start           time.Time
	now             time.Time
	queue           queue
	sequence        int
	faults          faults

	// onOrder, if set, is called with each order that a node decides to send.
	onOrder func(*simNode, SendOrder)
	// nextOrderDelay, if set, delays the next order on the network.
	nextOrderDelay time.Duration

	row       simRow
	revisions []*revision
	nodes     []*simNode
	engines   []*simEngine
	view      *membership.View
	log       strings.Builder
	verbose   bool
	// violation is the first invariant that did not hold.
	violation   string
	strayOrders int
	// maxLoadsSeen is the most loads at one time; with loadsUnchecked it may exceed the
	// limit.
	maxLoadsSeen   int
	loadsUnchecked bool
}

// faults apply to everything that happens while they are set.
type faults struct {
	tableDown  bool
	inForceOut bool
	// loseAcks, lateWrites, lateOrders, loseOrderAcks and failLoads are probabilities.
	loseAcks, lateWrites, lateOrders, loseOrderAcks, failLoads float64
	// pauses is the probability that a node is paused between the decision on an order
	// and the sending of it.
	pauses float64
	// delay is the greatest delay of late writes and orders; loadTime is the time of a
	// load.
	delay, loadTime time.Duration
}

// revision is a configuration, with the times when it was stored and when it is in force
// everywhere.
type revision struct {
	snapshot *config.Snapshot
	at       time.Time
	inForce  time.Time
}

// applyTime is the time from a revision's storage until it is in force everywhere.
const applyTime = 3 * time.Second

func newWorld(seed uint64, s Settings, g disabledRules) *world {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &world{
		settings: s.WithDefaults(), guards: g, random: rand.New(rand.NewPCG(seed, 1)),
		start: start, now: start, faults: faults{loadTime: 3 * time.Second},
	}
}

type timer struct {
	at       time.Time
	sequence int
	do       func()
}

type queue []timer

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
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
	w.sequence++
	heap.Push(&w.queue, timer{w.now.Add(d), w.sequence, do})
}

// runUntil simulates until the given time or the first violation.
func (w *world) runUntil(end time.Time) {
	for len(w.queue) > 0 && w.violation == "" && !w.queue[0].at.After(end) {
		t := heap.Pop(&w.queue).(timer)
		w.now = t.at
		t.do()
	}
	w.now = end
}

func (w *world) violatef(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("%v: ", w.now.Sub(w.start)) + fmt.Sprintf(format, args...)
	}
}

func (w *world) logf(format string, args ...any) {
	if w.verbose {
		fmt.Fprintf(&w.log, "%v ", w.now.Sub(w.start).Round(100*time.Millisecond))
		fmt.Fprintf(&w.log, format+"\n", args...)
	}
}

func (w *world) chance(p float64) bool { return p > 0 && w.random.Float64() < p }

// latency draws the one-way latency of a message.
func (w *world) latency() time.Duration {
	return time.Millisecond + time.Duration(w.random.Int64N(int64(20*time.Millisecond)))
}

// addRevision stores a configuration now.
func (w *world) addRevision(s *config.Snapshot) {
	r := &revision{snapshot: s, at: w.now, inForce: w.now.Add(applyTime)}
	w.revisions = append(w.revisions, r)
	w.logf("revision %d", s.Revision)
	for _, n := range w.nodes {
		n.applyLater(r)
	}
	for _, e := range w.engines {
		e.drawWork(r)
	}
}

func (w *world) latest() *revision { return w.revisions[len(w.revisions)-1] }

// inForce is the newest revision in force everywhere, or nil.
func (w *world) inForce() *revision {
	for _, r := range slices.Backward(w.revisions) {
		if !w.now.Before(r.inForce) {
			return r
		}
	}
	return nil
}

// withdrawn reports whether the withdrawal of a version is in force and no newer revision
// takes it back.
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

// updateView sets the nodes' view of the engines.
func (w *world) updateView() {
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

// updateViewSoon updates the view after the time in which a node notices a change.
func (w *world) updateViewSoon() { w.after(time.Second, w.updateView) }
