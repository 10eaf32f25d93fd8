package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/exchange"
	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/route"
)

// mostUnreached bounds the upstreams to which no connection could be opened
// for one request; nothing was sent to them.
const mostUnreached = 6

// run makes attempts until the request has its final answer.
func (j *job) run() {
	if j.node.blocked(j.print) {
		j.refuse(suspectWork)
		return
	}
	j.node.first(j.service)
	if len(j.route.Models) > 0 && j.ask.AnyModel {
		j.model = j.node.policy.First(j.firstState())
	}
	for {
		a := j.findUpstream()
		if a == nil {
			j.giveUp()
			return
		}
		if j.attempt(a) {
			return
		}
		if j.ctx.Err() != nil {
			j.giveUp()
			return
		}
	}
}

// giveUp sends the final answer of a request for which nothing more is tried.
func (j *job) giveUp() {
	switch {
	case j.r.Context().Err() != nil:
		j.callerLeft()
	case j.begun:
		j.breakOff("no_upstream")
	case j.failed != nil:
		j.deliver(j.failed)
	case j.ctx.Err() != nil && j.mayHaveRun:
		j.refuse(tooLate)
	case j.ctx.Err() != nil:
		j.refuse(notInTime)
	case j.mayHaveRun:
		j.refuse(broken)
	case !j.room.IsZero():
		j.refuse(upstreamsPaced(time.Until(j.room)))
	case j.arrived > 0:
		j.refuse(turnedAway)
	default:
		j.refuse(noUpstream)
	}
}

// callerLeft ends a request whose caller has gone: there is nobody to answer.
func (j *job) callerLeft() {
	j.outcome = "caller_left"
	j.node.event(event.ForwardLeft, j, slog.Bool("begun", j.begun))
	j.observe(statusCallerLeft)
	panic(http.ErrAbortHandler) // closes the connection without a sound end
}

// statusCallerLeft stands in metrics for a caller that left.
const statusCallerLeft = 499

// breakOff ends an answer that has begun and can't be finished, in a way that
// does not look complete.
func (j *job) breakOff(reason string) {
	j.outcome = "broken_off"
	j.node.event(event.ForwardBroken, j, slog.String("reason", reason), slog.String("last_event", j.lastEvent))
	j.observe(http.StatusBadGateway)
	panic(http.ErrAbortHandler) // closes the connection without the end of the body
}

// findUpstream chooses an upstream for the next attempt. It waits a little
// when there is none: one may be back at once.
func (j *job) findUpstream() *attempt {
	until := j.start.Add(time.Duration(waitPart * float64(j.route.Goal)))
	for {
		if j.ctx.Err() != nil || !j.mayTry() {
			return nil
		}
		a, room := j.node.choose(j)
		if a != nil {
			return a
		}
		if (!time.Now().Before(until) || room.After(until)) && !j.begun {
			j.room = room
			return nil
		}
		if !pause(j.ctx, min(max(time.Until(room), waitStep), waitMost)) {
			return nil
		}
	}
}

// mayTry tells whether the route allows another attempt.
func (j *job) mayTry() bool {
	if j.unreached > mostUnreached || j.left() <= 0 {
		return false
	}
	return !j.mayHaveRun || j.route.Repeatable()
}

// pause waits; it returns false if ctx ended meanwhile.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// attempt sends the request to one upstream. It returns true when the request
// has its final answer, false when another attempt may be made.
func (j *job) attempt(a *attempt) bool {
	if j.arrived > 0 && !j.paid && !j.node.allowRetry(j.service, 0) {
		j.sent = max(j.route.MaxAttempts, 1) // no more attempts
		a.end(fleet.Abandoned)
		j.node.event(event.ForwardAttempt, j, slog.String("reason", "retry_budget"))
		return false
	}
	paid := j.arrived > 0
	j.paid = false
	ctx, cancel := j.attemptContext()
	defer cancel()
	j.tried = append(j.tried, a.id)
	watch := a.startTimer(cancel)
	resp, failure := j.node.pool.Do(ctx, a.addr, j.request(a))
	moved := watch.end()
	var reply Reply
	if failure == nil {
		reply = j.node.dialect.Reply(resp.Status, resp.Header)
		if resp.Status != http.StatusMisdirectedRequest { // another upstream answered
			j.node.noteAnswer(a.up, reply, resp.At)
		}
	}
	if moved && failure == nil {
		resp.Close()
		failure = &exchange.Failure{Sent: true, Reason: exchange.Cancelled, Err: errMoved}
	}
	if failure != nil {
		j.failedAttempt(a, failure, moved)
		j.paid = j.paid || paid && !failure.Sent // what reached nobody is not spent
		return false
	}
	j.arrived++
	j.sent++
	j.mayHaveRun = true
	a.started()
	if reply.NotRun {
		j.turnedAway(a, resp)
		return false
	}
	if j.route.Kind == route.Stream && resp.Status == http.StatusOK {
		return j.stream(a, resp, reply)
	}
	return j.whole(a, resp)
}

// attemptContext bounds an attempt at a whole answer so that time is left for
// another one, where the route allows one. A stream watches its own pauses.
func (j *job) attemptContext() (context.Context, context.CancelFunc) {
	if j.route.Kind == route.Stream || !j.route.Repeatable() || j.left() < 2 {
		return context.WithCancel(j.ctx)
	}
	return context.WithTimeout(j.ctx, time.Until(j.deadline)/2)
}

// request is what is sent to an upstream.
func (j *job) request(a *attempt) *exchange.Request {
	_, target := rawTarget(j.r)
	order := Order{
		Instance: a.id, Organisation: j.org, Left: time.Until(j.deadline),
		Model: j.model, LastEvent: j.lastEvent, Rank: a.rank,
	}
	if j.route.Kind != route.Stream {
		order.Rank = -1
	}
	req := &exchange.Request{
		Method: j.r.Method, Target: target, Host: j.r.Host,
		Fields: j.node.dialect.Forward(j.r.Header, &j.ask, &order),
		Body:   j.body, HasBody: len(j.body) > 0 || j.r.ContentLength == 0 && j.r.Method != http.MethodGet && j.r.Method != http.MethodHead,
		IDField: j.node.dialect.IDField(), ID: j.ask.ID,
		Stands: a.stands,
	}
	if !j.route.Repeatable() {
		req.MaxIdle = onceMaxIdle
	}
	return req
}

// failedAttempt notes an attempt that brought no answer.
func (j *job) failedAttempt(a *attempt, f *exchange.Failure, moved bool) {
	result := fleet.Unreached
	reason := string(f.Reason)
	switch {
	case f.Reason == exchange.Withdrawn:
		result = fleet.Abandoned
		j.tried = j.tried[:len(j.tried)-1] // it has not been sent there
	case f.Reason == exchange.Cancelled && moved:
		result, reason = fleet.Moved, "waited_too_long"
		j.paid = true
	case f.Reason == exchange.Cancelled && j.ctx.Err() != nil:
		result = fleet.Abandoned
	case f.Reason == exchange.Cancelled || f.Reason == exchange.Garbled:
		result = fleet.Failed
	}
	if f.Sent {
		j.arrived++
		j.sent++
		j.mayHaveRun = true
	} else if f.Reason != exchange.Withdrawn {
		j.unreached++
	}
	a.end(result)
	if f.Reason == exchange.NotConnected {
		j.node.returning(a.up)
	}
	if f.Sent && f.Reason == exchange.Broken {
		j.node.suspectCrash(j, a)
	}
	j.node.event(event.ForwardAttempt, j, slog.String("upstream", a.id), slog.String("reason", reason),
		slog.Bool("sent", f.Sent), slog.Int64("usual_ms", a.usual.Milliseconds()), slog.String("err", f.Err.Error()))
}

// turnedAway notes an attempt that the upstream did not run.
func (j *job) turnedAway(a *attempt, resp *exchange.Response) {
	h := readHeld(resp)
	resp.Close()
	a.end(fleet.Full)
	j.mayHaveRun = a.ranBefore
	if resp.Status == http.StatusMisdirectedRequest {
		// The address belongs to another upstream now: this one is gone.
		j.node.misdirected(a)
		j.sent--
		j.unreached++
	}
	j.node.event(event.ForwardAttempt, j, slog.String("upstream", a.id), slog.String("reason", "not_run"), slog.Int("status", resp.Status))
	if resp.Status == http.StatusBadRequest && h != nil {
		j.failed = h // the request itself is at fault
		j.sent = max(j.route.MaxAttempts, 1)
	}
}
