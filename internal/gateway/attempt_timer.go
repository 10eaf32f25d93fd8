package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/route"
)

const (
	// moveDelayFactor is how long an attempt waits for its answer to begin before it is
	// moved, as a multiple of the usual wait.
	moveDelayFactor = 4.0
	// minMoveDelay is the shortest wait before an attempt is moved: shorter waits are
	// within the usual variation.
	minMoveDelay = 300 * time.Millisecond
	// moveReserve is the fraction of the retry budget that moved attempts leave to failed
	// ones.
	moveReserve = 0.5
)

// errMoved reports an answer that began at the moment its attempt was moved.
var errMoved = errors.New("the attempt was moved")

// attemptTimer moves an attempt to another upstream when it waits far longer than usual for
// its answer to begin.
//
// Otherwise work would stay stuck at one upstream while others are idle. The work may be
// queued behind a prompt that takes seconds to read, or the upstream may have stopped
// responding without closing its connections. The caller would wait until its deadline.
// The threshold follows the usual wait of all attempts, including moved ones, so nothing
// is moved when all upstreams are slow. If the retry budget less its reserve does not
// allow the move, the timer fires again once the answer would be far too late; the whole
// budget may then be used.
type attemptTimer struct {
	mu    sync.Mutex
	timer *time.Timer
	// moved is set when the timer has cancelled the attempt. disarmed is set when it no
	// longer may: an answer that has begun is never cut off. left is set when the attempt may end
	// because its link is lost.
	moved, disarmed, left bool
}

// startTimer starts a timer that runs until the attempt's answer begins; cancel ends the
// attempt.
func (a *attempt) startTimer(cancel context.CancelFunc) *attemptTimer {
	p := &attemptTimer{}
	if p.startSilenceTimer(a, cancel) || !a.movable() {
		return p
	}
	late := lateDelay(a.job.route.LatencyGoal, time.Until(a.job.deadline))
	first := late
	if a.usualDelay > 0 && a.hasSpareAttempts() {
		first = min(max(time.Duration(moveDelayFactor*float64(a.usualDelay)), minMoveDelay), late)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(first, func() { p.fire(a, cancel, late) })
	return p
}

// lateDelay returns how long an attempt may wait before the whole retry budget may be used
// to move it. That is when its answer would be far too late, but at most half of the time
// left, so that another attempt has as much. A route's goal may be as long as its callers
// wait; without this bound the move would come after the caller has gone.
func lateDelay(goal, left time.Duration) time.Duration {
	return min(time.Duration(firstEventStallFactor*float64(goal)), left/2)
}

// fire moves the attempt if the retry budget allows it.
func (t *attemptTimer) fire(a *attempt, cancel context.CancelFunc, late time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	waited := time.Since(a.began)
	reserve := moveReserve
	if waited >= late {
		reserve = 0
	}
	switch {
	case t.disarmed:
	case a.job.node.allowMove(a, reserve):
		t.moved = true
		cancel()
	case waited < late:
		t.timer.Reset(late - waited)
	}
}

// stop disarms the timer and reports whether the timer had cancelled the attempt.
func (t *attemptTimer) stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.disarmed = true
	if t.timer != nil {
		t.timer.Stop()
	}
	return t.moved
}

// leaveLostLink reports whether the attempt may end because its link is lost: its answer has not
// begun, and another upstream and the retry budget allow another one, which is then taken from the
// budget.
func (t *attemptTimer) leaveLostLink(a *attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.left {
		t.left = !t.moved && !t.disarmed && a.job.attemptsLeft() >= 2 && a.job.node.allowMove(a, 0)
	}
	return t.left
}

// hasLeft reports whether the attempt was allowed to end because its link is lost.
func (t *attemptTimer) hasLeft() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.left
}

// movable reports whether the attempt may be moved: it must be repeatable, and another attempt
// must be left for the request.
func (a *attempt) movable() bool {
	j := a.job
	return j.route.Kind == route.Stream && j.route.Repeatable() && j.route.LatencyGoal > 0 && j.attemptsLeft() >= 2
}

// hasSpareAttempts reports whether enough attempts are left to move this one and still replace
// a smaller model's answer. With fewer it is moved only once it is far too late: until then a
// better answer is worth more than an earlier one.
func (a *attempt) hasSpareAttempts() bool {
	j := a.job
	needed := 2 // this one and its replacement
	if j.model != "" && j.model != j.route.Models[len(j.route.Models)-1] {
		needed++ // one by a larger model
	}
	return j.attemptsLeft() >= needed
}

// allowMove takes a move from the retry budget, less the fraction reserve, if the request may run
// again and another upstream can take it.
func (n *Node) allowMove(a *attempt, reserve float64) bool {
	j, now := a.job, time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.crashGuard.Blocking(j.chain, now)) > 0 {
		return false // it may have run, so it is no longer let through as a trial
	}
	p := n.place(j, n.canary.Rule(j.service, j.caller(), now), n.previewHeldVersion(j.service, now), now)
	if p.upstream == nil || p.upstream.ID == a.id {
		return false
	}
	return n.budget(j.service, now).Allow(now, reserve)
}
