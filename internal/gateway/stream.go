package gateway

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/cascade"
	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/exchange"
	"github.com/hickorybank/hickorybank/internal/fleet"
)

const (
	// eventBuffer is what is read of a stream at a time.
	eventBuffer = 4 << 10
	// mostEvent bounds one event.
	mostEvent = 1 << 20
)

// paceEvents is after how many events a stream's pace is told to the roll-out.
//
// It guards against a version that is slow: its streams take many times as
// long, and told only at their end, they would convict it when all sessions
// had long moved to it.
const paceEvents = 6

// streamEnd is how the reading of a stream ended.
type streamEnd int

const (
	endWhole streamEnd = iota
	endBroken
	endCaller
)

// stream passes a stream's events on as they come, whole ones only. It returns
// true when the request has its final answer, false when the stream should go
// on at another upstream.
func (j *job) stream(a *attempt, resp *exchange.Response, reply Reply) bool {
	defer resp.Close()
	if next := j.escalate(a, reply); next != "" {
		a.end(fleet.Served)
		j.model = next
		return false
	}
	s := &eventReader{from: resp}
	first, last, count := time.Time{}, time.Time{}, 0
	end, err := endWhole, error(nil)
	for {
		if e := resp.Deadline(j.stallAt(count)); e != nil {
			end, err = endBroken, e
			break
		}
		chunk, id, n, e := s.next()
		if len(chunk) > 0 {
			now := time.Now()
			if count == 0 {
				first = now
			} else {
				j.longestPause = max(j.longestPause, now.Sub(last))
			}
			last = now
			count += n
			if count >= paceEvents && !a.told {
				a.answered(false, pace(first, last, count))
			}
			if e := j.send(resp, chunk, id); e != nil {
				end, err = endCaller, e
				break
			}
		}
		if e == io.EOF {
			break
		}
		if e != nil {
			end, err = endBroken, e
			break
		}
	}
	return j.streamed(a, resp, reply, end, err, pace(first, last, count))
}

// pace is the mean pause between a stream's events; 0 where there were few.
func pace(first, last time.Time, count int) time.Duration {
	if count < 4 {
		return 0
	}
	return last.Sub(first) / time.Duration(count-1)
}

// escalate returns the model that should answer in place of this one, if any.
func (j *job) escalate(a *attempt, reply Reply) string {
	if j.model == "" || j.begun || !reply.HasConfidence {
		return ""
	}
	state := j.cascadeState(a)
	next := j.node.policy.Next(state, j.model, reply.Confidence)
	if next == "" {
		return ""
	}
	attrs := []slog.Attr{
		slog.String("upstream", a.id), slog.String("model", j.model), slog.String("next", next),
		slog.Int("confidence", reply.Confidence), slog.Int("asked", j.node.policy.Accept(state)),
		slog.Int("slots_in_use_percent", int(100*state.Load)),
		slog.Int64("largest_ms", state.Largest.Milliseconds()), slog.Int64("left_ms", state.Left.Milliseconds()),
	}
	if !j.node.allowRetry(j.service, cascade.Reserve(reply.Confidence)) {
		// Without a further attempt the small model's answer is all there is.
		j.node.event(event.ForwardUnsure, j, attrs...)
		return ""
	}
	j.node.event(event.ForwardEscalated, j, attrs...)
	j.paid = true
	return next
}

// firstState is where the request stands before its first attempt.
func (j *job) firstState() cascade.State {
	n := j.node
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	models := j.route.Models
	smallest, largest := j.want(canary.Rule{}), j.want(canary.Rule{})
	smallest.Model, largest.Model = models[0], models[len(models)-1]
	return cascade.State{
		Models: models, Attempts: j.left(), Resumed: j.lastEvent != "", Left: j.route.Goal - now.Sub(j.start),
		Smallest: n.fleet.FirstEvent(&smallest, now), Largest: n.fleet.FirstEvent(&largest, now),
	}
}

// cascadeState is where the request stands for the choice of its model, after an
// attempt that ran.
func (j *job) cascadeState(a *attempt) cascade.State {
	n := j.node
	n.mu.Lock()
	defer n.mu.Unlock()
	load := n.fleet.ServiceLoad(j.service, a.version, time.Now())
	largest := a.want
	largest.Model = j.route.Models[len(j.route.Models)-1]
	return cascade.State{
		Models: j.route.Models, Attempts: j.left(), Load: load,
		Left: j.route.Goal - time.Since(j.start), Largest: n.fleet.FirstEvent(&largest, time.Now()),
	}
}

// stallAt is when a silent stream is given up for another upstream; the zero
// time where there is no other way.
func (j *job) stallAt(events int) time.Time {
	if !j.route.Resumable || j.left() < 1 {
		return time.Time{}
	}
	if events == 0 && !j.begun {
		return time.Now().Add(time.Duration(firstStall * float64(j.route.Goal)))
	}
	gap := j.route.GapGoal
	if gap <= 0 {
		gap = j.route.Goal
	}
	return time.Now().Add(time.Duration(eventStall * float64(gap)))
}

// send passes whole events on to the caller.
func (j *job) send(resp *exchange.Response, events []byte, id string) error {
	if !j.begun {
		copyHeader(j.w.Header(), resp.Header)
		j.w.WriteHeader(resp.Status)
		j.begun = true
		j.firstAfter = time.Since(j.start)
	}
	if _, err := j.w.Write(events); err != nil {
		return err
	}
	if id != "" {
		j.lastEvent = id
	}
	return http.NewResponseController(j.w).Flush()
}

// streamed ends an attempt at a stream.
func (j *job) streamed(a *attempt, resp *exchange.Response, reply Reply, end streamEnd, err error, p time.Duration) bool {
	switch {
	case end == endWhole:
		a.end(fleet.Served)
		if !a.told {
			a.answered(false, p)
		}
		if !j.begun {
			copyHeader(j.w.Header(), resp.Header)
			j.w.WriteHeader(resp.Status)
		}
		j.outcome = "answered"
		j.node.event(event.ForwardAnswered, j, slog.Int("status", resp.Status), slog.String("upstream", a.id),
			slog.String("model", j.model), slog.String("last_event", j.lastEvent),
			slog.Int64("first_ms", j.firstAfter.Milliseconds()), slog.Int64("pause_ms", j.longestPause.Milliseconds()), slog.Int("tokens_in", j.ask.TokensIn), slog.Int("confidence", reply.Confidence))
		j.observe(resp.Status)
		return true
	case end == endCaller || j.r.Context().Err() != nil:
		a.end(fleet.Abandoned)
		j.callerLeft()
	case context.Cause(j.ctx) != nil:
		a.end(fleet.Abandoned)
		if j.begun {
			j.breakOff("time_over")
		}
		return false
	}
	a.end(fleet.Failed)
	a.answered(true, p)
	reason := "broke"
	if isTimeout(err) {
		reason = "silent"
	}
	resp.Close()
	j.node.event(event.ForwardResumed, j, slog.String("upstream", a.id), slog.String("reason", reason),
		slog.String("err", err.Error()), slog.String("last_event", j.lastEvent))
	if reason == "broke" {
		j.node.suspectCrash(j, a)
	}
	if j.begun && (!j.route.Resumable || j.left() < 1) {
		j.breakOff(reason)
	}
	return false
}

func isTimeout(err error) bool {
	t, ok := err.(interface{ Timeout() bool })
	return ok && t.Timeout()
}
