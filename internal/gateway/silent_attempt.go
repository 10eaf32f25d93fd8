package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/route"
)

// startSilenceTimer starts a timer for an attempt at a plain service; it reports false if it
// is unknown how long such an attempt usually waits.
//
// When the timer fires, that is a sign that the upstream is silent. The attempt is moved if it may be
// repeated, another attempt is allowed and the retry budget less its reserve has room.
// Otherwise it goes on to wait.
func (t *attemptTimer) startSilenceTimer(a *attempt, cancel context.CancelFunc) bool {
	if a.job.route.Kind == route.Stream {
		return false
	}
	n := a.job.node
	n.mu.Lock()
	after, ok := n.fleet.SilentAfter(a.job.service, time.Until(a.job.deadline))
	n.mu.Unlock()
	if !ok {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(after, func() { t.fireSilence(a, cancel, after) })
	return true
}

// fireSilence notes the silence and moves the attempt if that is allowed. Otherwise the timer
// fires once more after the same time; 0 for no more.
func (t *attemptTimer) fireSilence(a *attempt, cancel context.CancelFunc, again time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.disarmed {
		return
	}
	j := a.job
	j.node.noteSilent(a)
	if !j.route.Repeatable() || j.attemptsLeft() < 2 || !j.node.allowMove(a, moveReserve) {
		if again > 0 {
			t.timer = time.AfterFunc(again, func() { t.fireSilence(a, cancel, 0) })
		}
		return
	}
	t.moved = true
	j.node.metrics.Counter("hickorybank_hedged_attempts_total", "service", j.service).Inc()
	cancel()
}

// noteSilent records that an attempt waits far longer than usual for its answer.
func (n *Node) noteSilent(a *attempt) {
	now := time.Now()
	n.mu.Lock()
	first := n.fleet.NoteSilent(a.up, a.work, now)
	n.mu.Unlock()
	if !first {
		return
	}
	n.metrics.Counter("hickorybank_silent_upstreams_total", "service", a.job.service).Inc()
	event.UpstreamSilent.Log(n.log, slog.String("service", a.job.service), slog.String("upstream", a.id),
		slog.Int64("waited_ms", now.Sub(a.began).Milliseconds()))
}

// retryAtTried allows the attempt an upstream that has answered the request with an error, if
// no other one can run it: a repeated call may succeed there.
func (j *job) retryAtTried() bool {
	return j.route.Kind == route.Idempotent && j.failedAnswer != nil && len(j.tried) > 0
}

// isPlain reports whether the job's service runs no models.
func (j *job) isPlain() bool { return j.config.isPlain(j.service) }

// isPlain reports whether a service runs no models.
func (c *configuration) isPlain(service string) bool {
	if c == nil {
		return false
	}
	s := c.Service(service)
	return s != nil && s.Engine == nil
}
