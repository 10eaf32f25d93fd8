package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/route"
)

// answerTimer moves an attempt at a buffered answer that has used half of the time left, so that
// another attempt has as much. Where no other attempt may follow, this one goes on: its answer is the
// only one.
type answerTimer struct {
	mu    sync.Mutex
	timer *time.Timer
	// late is set once half of the time is used, moved once the timer has cancelled the attempt.
	late, moved, disarmed bool
}

// startAnswerTimer starts a timer that runs until the attempt's answer is whole; cancel ends the
// attempt. Streams have their own stall timeouts.
func (a *attempt) startAnswerTimer(cancel context.CancelFunc) *answerTimer {
	t, j := &answerTimer{}, a.job
	if j.route.Kind == route.Stream || !j.route.Repeatable() || j.attemptsLeft() < 2 {
		return t
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(time.Until(j.deadline)/2, func() { t.fire(a, cancel) })
	return t
}

// fire moves the attempt if that is allowed. Otherwise it asks again after half of the time that
// is left.
func (t *answerTimer) fire(a *attempt, cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.disarmed {
		return
	}
	n, service := a.job.node, a.job.service
	if !t.late {
		t.late = true
		n.metrics.Counter("hickorybank_late_attempts_total", "service", service).Inc()
	}
	if n.allowMove(a, 0) {
		t.moved = true
		cancel()
		return
	}
	if next := time.Until(a.job.deadline) / 2; next >= minMoveDelay {
		t.timer.Reset(next)
	}
}

// stop disarms the timer. It reports whether half of the time was used, and whether the timer has
// cancelled the attempt.
func (t *answerTimer) stop() (late, moved bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.disarmed = true
	if t.timer != nil {
		t.timer.Stop()
	}
	return t.late, t.moved
}
