package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math"
	"net/http"
	"time"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/exchange"
	"github.com/hickorybank/hickorybank/internal/fleet"
)

const (
	// readBufferBytes is the size of the reads from a stream.
	readBufferBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 256 << 10
)

// streamEnd is how the reading of a stream ended.
type streamEnd int

const (
	endComplete streamEnd = iota
	endBroken
	endCallerGone
)

// forwardStream forwards a stream's complete events as they arrive. It returns true if the
// request has its final answer, false if the stream should resume at another upstream.
func (j *job) forwardStream(a *attempt, resp *exchange.Response, reply Reply, s *eventReader) bool {
	defer resp.Close()
	if next := j.escalate(a, reply); next != "" {
		a.finish(fleet.Served)
		a.reportOutcome(false, 0)
		a.leave()
		j.model = next
		return false
	}
	pulse := j.node.streams.Begin(j.service, a.id, time.Now())
	defer pulse.End()
	resumedAfter := j.lastEvent
	first, last, count := time.Time{}, time.Time{}, 0
	end, err := endComplete, error(nil)
	other := newStandby(a, resp)
	resp.OnLinkLost(other.linkLost)
	for {
		other.wait(count)
		chunk, id, n, e := s.next()
		if !other.received(n > 0) {
			end, err = endBroken, other.cause()
			break
		}
		if len(chunk) > 0 {
			now := time.Now()
			if count == 0 {
				first, a.firstEventAt = now, now
			} else {
				j.longestPause = max(j.longestPause, now.Sub(last))
			}
			if count == 0 && resumedAfter != "" {
				j.node.logEvent(event.ForwardContinued, j, slog.String("upstream", a.id), slog.String("after_event", resumedAfter), slog.String("last_event", id))
			}
			last = now
			pulse.Note(now)
			count += n
			if !a.answered && now.Sub(first) >= answerProofTime {
				a.noteAnswered(j.chain.Parts(), first)
			}
			if count >= canary.PaceEvents && !a.reported {
				a.reportOutcome(false, meanPause(first, last, count))
			}
			if e := j.sendEvents(resp, chunk, id); e != nil {
				end, err = endCallerGone, e
				break
			}
		}
		if e == io.EOF && count == 0 && resp.Unframed {
			e = errNoEvent
		}
		if e == io.EOF {
			break
		}
		if e == nil && count > j.maxEvents() {
			e = errTooManyEvents
		}
		if e != nil {
			end, err = endBroken, e
			break
		}
	}
	next := other.end(end == endBroken && j.ctx.Err() == nil)
	if next == nil {
		return j.finishStream(a, resp, reply, end, err, meanPause(first, last, count))
	}
	defer next.close()
	pulse.End()
	j.noteReplaced(a, resp, err, meanPause(first, last, count))
	return j.forwardResumed(next)
}

// errReplaced ends the reading of a silent stream that another upstream goes on with, errLinkSilent
// that of one whose link is lost.
var (
	errReplaced   = errors.New("another upstream goes on with the silent stream")
	errLinkSilent = errors.New("another upstream goes on with the stream, whose link is lost")
)

// errNoEvent ends a stream whose connection ended after the head. An upstream that broke off there
// looks like one that has no events to send.
var errNoEvent = errors.New("stream without a length ended before its first event")

// forwardResumed forwards the stream of a run that replaces another one.
func (j *job) forwardResumed(run *resumedRun) bool {
	run.noteStarted(j)
	run.attempt.noteAnswering()
	return j.forwardStream(run.attempt, run.resp, run.reply, run.events)
}

// meanPause returns the mean pause between a stream's events; 0 for fewer than four events.
func meanPause(first, last time.Time, count int) time.Duration {
	if count < 4 {
		return 0
	}
	return last.Sub(first) / time.Duration(count-1)
}

// maxEvents returns how many events an answer may have. An event holds at least one token of it;
// the rest is for events that hold none.
func (j *job) maxEvents() int {
	if j.headers.TokensOut <= 0 {
		return math.MaxInt
	}
	return 2*j.headers.TokensOut + 64
}

var errTooManyEvents = errors.New("stream has more events than twice the tokens that its request allows")

// isEndless reports whether a stream was ended because a bound was reached.
func isEndless(err error) bool {
	return errors.Is(err, errEventTooLong) || errors.Is(err, errTooManyEvents)
}

// stallTimeout returns how long a stream may be silent after a number of events before it may go on
// at another upstream.
func (j *job) stallTimeout(events int) time.Duration {
	if events == 0 && !j.answerStarted {
		return time.Duration(firstEventStallFactor * float64(j.route.LatencyGoal))
	}
	return time.Duration(eventStallFactor * float64(j.gapGoal()))
}

// resumesAfter returns the ID of the event after which the next run goes on; empty for the start.
func (j *job) resumesAfter() string {
	if !j.route.Resumable {
		return ""
	}
	return j.lastEvent
}

// gapGoal returns the longest pause between events for which an answer is on time.
func (j *job) gapGoal() time.Duration {
	if j.route.GapGoal > 0 {
		return j.route.GapGoal
	}
	return j.route.LatencyGoal
}

// silenceThreshold returns from which pause on all its streams an upstream counts as silent.
func (j *job) silenceThreshold() time.Duration { return j.gapGoal() }

// sendEvents sends complete events to the caller.
func (j *job) sendEvents(resp *exchange.Response, events []byte, id string) error {
	if !j.answerStarted {
		copyHeader(j.w.Header(), resp.Header)
		j.w.WriteHeader(resp.Status)
		j.answerStarted = true
		j.firstPartAfter = time.Since(j.start)
	}
	if _, err := j.w.Write(events); err != nil {
		return err
	}
	if id != "" {
		j.lastEvent = id
	}
	return http.NewResponseController(j.w).Flush()
}

// finishStream ends an attempt at a stream. It returns true if the request has its final
// answer.
func (j *job) finishStream(a *attempt, resp *exchange.Response, reply Reply, end streamEnd, err error, pause time.Duration) bool {
	switch {
	case end == endComplete:
		a.finish(fleet.Served)
		a.noteAnswered(j.chain, later(a.startedAt, a.firstEventAt))
		if !a.reported {
			a.reportOutcome(false, pause)
		}
		if !j.answerStarted {
			copyHeader(j.w.Header(), resp.Header)
			j.w.WriteHeader(resp.Status)
		}
		j.outcome = "answered"
		j.node.logEvent(event.ForwardAnswered, j, slog.Int("status", resp.Status), slog.String("upstream", a.id),
			slog.String("model", j.model), slog.String("last_event", j.lastEvent),
			slog.Int64("first_ms", j.firstPartAfter.Milliseconds()), slog.Int64("pause_ms", j.longestPause.Milliseconds()), slog.Int("tokens_in", j.headers.TokensIn), slog.Int("confidence", reply.Confidence))
		j.observe(resp.Status)
		return true
	case end == endCallerGone || j.r.Context().Err() != nil:
		a.finish(fleet.Abandoned)
		a.leave()
		j.callerLeft()
	case context.Cause(j.ctx) != nil:
		a.finish(fleet.Abandoned)
		a.leave()
		if j.answerStarted {
			j.breakOff("time_over")
		}
		return false
	}
	j.noteReplaced(a, resp, err, pause)
	if j.answerStarted && (!j.route.Resumable || j.attemptsLeft() < 1 || errors.Is(err, errTooManyEvents)) {
		j.breakOff(breakReason(resp, err))
	}
	return false
}

// noteReplaced records an attempt whose stream broke off or is silent, and that another one may
// follow.
func (j *job) noteReplaced(a *attempt, resp *exchange.Response, err error, pause time.Duration) {
	reason := breakReason(resp, err)
	switch reason {
	case "too_long":
		j.noteEndless(a, err)
	case "link_lost":
		a.unreachable = true
	}
	if reason == "link_lost" {
		a.finish(fleet.Abandoned) // the upstream may be sound
	} else {
		a.finish(fleet.Failed)
		a.reportOutcome(true, pause)
	}
	resp.Close()
	silence := j.node.streams.Silence(j.service, j.silenceThreshold(), time.Now())
	j.node.logEvent(event.ForwardResumed, j, slog.String("upstream", a.id), slog.String("reason", reason),
		slog.String("err", err.Error()), slog.String("last_event", j.lastEvent), slog.Int("attempts_left", j.attemptsLeft()),
		slog.Int("silent_upstreams", len(silence.Upstreams)), slog.Int("streaming_upstreams", silence.Streaming))
	if reason == "broke" {
		j.node.suspectCrash(j, a)
	} else {
		a.leave()
	}
}

// breakReason returns why a stream ended before its end, as logs show it.
func breakReason(resp *exchange.Response, err error) string {
	switch {
	case isEndless(err):
		return "too_long"
	case resp.LinkLost(), errors.Is(err, errLinkSilent):
		return "link_lost"
	case errors.Is(err, errEventOutOfOrder):
		return "out_of_order"
	case errors.Is(err, errReplaced), isTimeout(err):
		return "silent"
	}
	return "broke"
}

func isTimeout(err error) bool {
	t, ok := err.(interface{ Timeout() bool })
	return ok && t.Timeout()
}
