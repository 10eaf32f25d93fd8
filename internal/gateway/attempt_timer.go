package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/route"
)

const (
	// movedAfterTimes is how many times the usual wait an attempt may wait for
	// its answer to begin before it is moved.
	movedAfterTimes = 4.0
	// movedAfterLeast is the least wait before an attempt is moved: waits that
	// short are seldom told apart from chance.
	movedAfterLeast = 300 * time.Millisecond
	// moveReserve is the part of the retry budget that moved attempts leave to
	// failed ones.
	moveReserve = 0.5
)

// errMoved says that an answer began in the moment in which its attempt was
// moved.
var errMoved = errors.New("the attempt was moved")

// attemptTimer moves an attempt that waits far longer than its like.
//
// It guards against work that is stuck at one upstream while others are idle:
// behind a prompt that takes seconds to read, or at an upstream that has fallen
// silent without closing its connections. The caller would wait until its time
// is over. What counts as long follows from what attempts usually wait, moved
// ones included: when all upstreams are slow, nothing is moved. Where the budget
// does not allow it then, the whole budget may be used once the answer would be
// far too late.
type attemptTimer struct {
	mu    sync.Mutex
	timer *time.Timer
	// moved is set when the watch has ended the attempt, over when it can no
	// longer do so: an answer that has begun is never cut off.
	moved, over bool
}

// startTimer watches an attempt until its answer begins; cancel ends the attempt.
func (a *attempt) startTimer(cancel context.CancelFunc) *attemptTimer {
	p := &attemptTimer{}
	if !a.movable() {
		return p
	}
	late := lateAfter(a.job.route.Goal, time.Until(a.job.deadline))
	first := late
	if a.usual > 0 {
		first = min(max(time.Duration(movedAfterTimes*float64(a.usual)), movedAfterLeast), late)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(first, func() { p.fire(a, cancel, late) })
	return p
}

// lateAfter is how long an attempt may wait before the whole budget may be used to move
// it: until its answer would be far too late, and no longer than leaves as much time for
// another one. Where a route's goal is as long as its callers wait, it would be moved when
// nobody waits any more.
func lateAfter(goal, left time.Duration) time.Duration {
	return min(time.Duration(firstStall*float64(goal)), left/2)
}

// fire moves the attempt if it may be moved.
func (p *attemptTimer) fire(a *attempt, cancel context.CancelFunc, late time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	waited := time.Since(a.began)
	reserve := moveReserve
	if waited >= late {
		reserve = 0
	}
	switch {
	case p.over:
	case a.job.node.allowMove(a, reserve):
		p.moved = true
		cancel()
	case waited < late:
		p.timer.Reset(late - waited)
	}
}

// end stops the watch; it reports whether the attempt was ended by it.
func (p *attemptTimer) end() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over = true
	if p.timer != nil {
		p.timer.Stop()
	}
	return p.moved
}

// movable tells whether the attempt may be moved: it can be repeated, and as
// many attempts are left as the request still needs.
func (a *attempt) movable() bool {
	j := a.job
	if j.route.Kind != route.Stream || !j.route.Repeatable() || j.route.Goal <= 0 {
		return false
	}
	needed := 2 // this one, and the one in its place
	if j.model != "" && j.model != j.route.Models[len(j.route.Models)-1] {
		needed++ // a larger model's
	}
	return j.left() >= needed
}

// allowMove takes a move from the retry budget, less a part that stays for
// others, if there is another upstream.
func (n *Node) allowMove(a *attempt, reserve float64) bool {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	want := a.want
	want.Tried = append([]string{a.id}, want.Tried...)
	if n.fleet.Choose(want, now) == nil {
		return false
	}
	return n.budget(want.Service, now).Allow(now, reserve)
}
