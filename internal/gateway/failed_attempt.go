package gateway

import (
	"errors"
	"log/slog"
	"net/http"
	"syscall"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/exchange"
	"github.com/hickorybank/hickorybank/internal/fleet"
)

// noteFailedAttempt records an attempt that brought no answer.
func (j *job) noteFailedAttempt(a *attempt, f *exchange.Failure, moved bool) {
	result := fleet.Unreached
	reason := string(f.Reason)
	switch {
	case f.Reason == exchange.LinkLost:
		result = fleet.Abandoned // the upstream may be sound
		j.linkLost, a.unreachable = true, true
	case f.Reason == exchange.Withdrawn:
		result, a.unreachable = fleet.Abandoned, true
		j.tried = j.tried[:len(j.tried)-1] // the request was not sent there
	case f.Reason == exchange.Cancelled && moved:
		result, reason = fleet.Moved, "waited_too_long"
		j.retryReserved = true
	case f.Reason == exchange.Cancelled && j.ctx.Err() != nil && !a.timedOut:
		result = fleet.Abandoned
	case f.Reason == exchange.Cancelled:
		result, a.timedOut = fleet.Failed, true
	case f.Reason == exchange.InvalidResponse:
		result = fleet.Failed
	case f.Reason == exchange.TooLong:
		result = fleet.Failed
		j.noteEndless(a, f.Err)
	}
	if f.Sent {
		j.noteReached()
		j.countTrial()
	} else if f.Reason != exchange.Withdrawn {
		j.connectFailures++
	}
	a.finish(result)
	if f.Reason == exchange.NotConnected {
		j.node.noteNotConnected(a.up, errors.Is(f.Err, syscall.ECONNREFUSED))
	}
	switch {
	case !f.Sent:
	case f.Reason == exchange.Broken:
		j.node.suspectCrash(j, a)
	default:
		a.leave()
	}
	j.node.logEvent(event.ForwardAttempt, j, slog.String("upstream", a.id), slog.String("reason", reason),
		slog.Bool("sent", f.Sent), slog.Int64("usual_ms", a.usualDelay.Milliseconds()), slog.String("err", f.Err.Error()))
}

// noteEndless records an upstream that sends bytes without end in place of an answer.
func (j *job) noteEndless(a *attempt, err error) {
	j.node.metrics.Counter("hickorybank_endless_answers_total", "service", j.service).Inc()
	j.node.logEvent(event.UpstreamEndless, j, slog.String("upstream", a.id), slog.String("err", err.Error()))
}

// noteDeclined records an attempt that the upstream did not run.
func (j *job) noteDeclined(a *attempt, resp *exchange.Response) {
	answer := j.readBuffered(resp)
	resp.Close()
	a.finish(fleet.Full)
	j.mayHaveRun = a.mayHaveRunBefore
	if resp.Status == http.StatusMisdirectedRequest {
		// The address now belongs to another upstream; this one is gone.
		j.node.noteMisdirected(a)
		j.attemptsUsed--
		j.connectFailures++
	}
	j.node.logEvent(event.ForwardAttempt, j, slog.String("upstream", a.id), slog.String("reason", "not_run"), slog.Int("status", resp.Status))
	if resp.Status == http.StatusBadRequest && answer != nil {
		j.failedAnswer = answer // the request itself is invalid
		j.attemptsUsed = max(j.route.MaxAttempts, 1)
	}
}

// noteNotResumed records an attempt to resume a stream that got another answer than a stream. None
// of it may follow what the caller has.
func (j *job) noteNotResumed(a *attempt, resp *exchange.Response) {
	resp.Close()
	a.finish(fleet.Failed)
	a.reportOutcome(true, 0)
	j.node.logEvent(event.ForwardAttempt, j, slog.String("upstream", a.id), slog.String("reason", "not_resumed"), slog.Int("status", resp.Status))
}
