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

// maxConnectFailures bounds the upstreams to which no connection could be opened for one
// request. Nothing was sent to them.
const maxConnectFailures = 6

// run makes attempts until the request has its final answer.
func (j *job) run() {
	if !j.mayRun() {
		j.giveUp()
		return
	}
	defer j.leaveRoom()
	if !j.awaitRoom() {
		return
	}
	j.node.countRequest(j.service)
	if len(j.route.Models) > 0 && j.headers.AnyModel {
		j.model = j.node.cascadePolicy.First(j.initialCascadeState())
	}
	j.awaitSoakBatch()
	for {
		a := j.nextAttempt()
		if a == nil {
			j.giveUp()
			return
		}
		if j.runAttempt(a) {
			return
		}
		if j.ctx.Err() != nil {
			j.giveUp()
			return
		}
	}
}

// giveUp sends the final answer of a request for which no further attempt is made.
func (j *job) giveUp() {
	j.endTrial()
	switch {
	case j.r.Context().Err() != nil:
		j.callerLeft()
	case j.answerStarted && j.blockedBy != 0:
		j.breakOff(crashingRequest.reason)
	case j.answerStarted:
		j.breakOff("no_upstream")
	case j.blockedBy != 0 && j.mayHaveRun && j.route.Repeatable():
		j.refuse(j.crashRefusal(crashedUpstreams))
	case j.blockedBy != 0:
		j.refuse(j.crashRefusal(crashingRequest))
	case j.failedAnswer != nil:
		j.deliver(j.failedAnswer)
	case j.ctx.Err() != nil && j.mayHaveRun:
		j.refuse(timedOut)
	case j.ctx.Err() != nil:
		j.refuse(notInTime)
	case j.mayHaveRun:
		j.refuse(upstreamFailed)
	case j.outlivesStop():
		j.refuse(nodeStops)
	default:
		j.refuse(j.unplacedRefusal(time.Now()))
	}
}

// callerLeft ends a request whose caller has disconnected; no answer is possible.
func (j *job) callerLeft() {
	j.outcome = "caller_left"
	j.node.logEvent(event.ForwardCallerLeft, j, slog.Bool("begun", j.answerStarted))
	j.observe(statusClientClosedRequest)
	panic(http.ErrAbortHandler) // closes the connection without a proper end of the answer
}

// statusClientClosedRequest is the status in metrics of requests whose callers
// disconnected.
const statusClientClosedRequest = 499

// breakOff ends an answer that has begun and can't be finished, so that it does not look
// complete.
func (j *job) breakOff(reason string) {
	j.outcome = "broken_off"
	j.node.logEvent(event.ForwardBroken, j, slog.String("reason", reason), slog.String("last_event", j.lastEvent))
	j.observe(http.StatusBadGateway)
	panic(http.ErrAbortHandler) // closes the connection without the end of the body
}

// nextAttempt chooses an upstream for the next attempt. Without any it waits briefly, as
// one may be available again within moments.
func (j *job) nextAttempt() *attempt {
	until := j.waitsUntil()
	for {
		if j.ctx.Err() != nil || !j.mayAttempt() || !j.mayRun() {
			return nil
		}
		a, roomAt := j.node.newAttempt(j)
		if a != nil {
			return a
		}
		if (!time.Now().Before(until) || roomAt.After(until)) && !j.answerStarted {
			j.roomAt = roomAt
			return nil
		}
		if !pause(j.ctx, min(max(time.Until(roomAt), waitPollInterval), maxWaitPollInterval)) {
			return nil
		}
	}
}

// waitsUntil returns until when the request waits for an upstream while there is none.
func (j *job) waitsUntil() time.Time {
	return j.start.Add(time.Duration(upstreamWaitFraction * float64(j.route.LatencyGoal)))
}

// mayAttempt reports whether the route allows another attempt.
func (j *job) mayAttempt() bool {
	if j.connectFailures > maxConnectFailures || j.attemptsLeft() <= 0 || !j.answerStarted && j.outlivesStop() {
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

// runAttempt sends the request to one upstream. It returns true if the request has its
// final answer, false if another attempt may be made.
func (j *job) runAttempt(a *attempt) (final bool) {
	if j.attemptsReached > 0 && !j.retryReserved && !j.node.allowRetry(j.service, 0) {
		j.attemptsUsed = max(j.route.MaxAttempts, 1) // no more attempts
		a.unreachable = true
		a.finish(fleet.Abandoned)
		j.node.logEvent(event.ForwardAttempt, j, slog.String("reason", "retry_budget"))
		return false
	}
	reserved := j.attemptsReached > 0
	j.retryReserved = false
	ctx, cancel := context.WithCancel(j.ctx)
	defer cancel()
	j.tried = append(j.tried, a.id)
	timer, whole := a.startTimer(cancel), a.startAnswerTimer(cancel)
	defer func() {
		if _, moved := whole.stop(); (moved || timer.hasLeft()) && !final {
			j.retryReserved = true
		}
	}()
	req := j.upstreamRequest(a)
	if j.route.Repeatable() {
		req.LinkLost = func() bool { return timer.leaveLostLink(a) }
	}
	resp, failure := j.node.pool.Do(ctx, a.addr, req)
	moved := timer.stop()
	var reply Reply
	if failure == nil {
		reply = j.node.dialect.Reply(resp.Status, resp.Header)
		if resp.Status != http.StatusMisdirectedRequest { // another upstream answered
			j.node.noteResponse(a.up, reply, resp.HeadReadAt)
		}
	}
	if moved && failure == nil {
		resp.Close()
		failure = &exchange.Failure{Sent: true, Reason: exchange.Cancelled, Err: errMoved}
	}
	if failure != nil {
		late, _ := whole.stop()
		a.timedOut = late && failure.Reason == exchange.Cancelled
		j.noteFailedAttempt(a, failure, moved)
		j.retryReserved = j.retryReserved || reserved && !failure.Sent // a retry that reached no upstream is not spent
		return false
	}
	j.noteReached()
	a.markStarted()
	if reply.NotRun {
		j.noteDeclined(a, resp)
		return false
	}
	if resp.Status < http.StatusInternalServerError {
		a.noteAnswering()
	}
	j.countTrial()
	if j.route.Kind == route.Stream && resp.Status == http.StatusOK {
		return j.forwardStream(a, resp, reply, j.newEventReader(resp, j.resumesAfter()))
	}
	if j.answerStarted {
		j.noteNotResumed(a, resp)
		return false
	}
	return j.forwardBuffered(a, resp, whole)
}

// noteReached records that an attempt has reached its upstream, which may run the request.
func (j *job) noteReached() {
	j.attemptsReached++
	j.attemptsUsed++
	j.mayHaveRun = true
}

// upstreamRequest returns the request that is sent to an upstream.
func (j *job) upstreamRequest(a *attempt) *exchange.Request {
	_, target := rawTarget(j.r)
	order := ForwardHeaders{
		Instance: a.id, Organisation: j.orgName, Left: time.Until(j.deadline),
		Model: j.model, LastEvent: j.lastEvent, Rank: a.rank,
	}
	if j.route.Kind != route.Stream {
		order.Rank = -1
	}
	req := &exchange.Request{
		Method: j.r.Method, Target: target, Host: j.r.Host,
		Fields: j.node.dialect.Forward(j.r.Header, &j.headers, &order),
		Body:   j.body, HasBody: len(j.body) > 0 || j.r.ContentLength == 0 && j.r.Method != http.MethodGet && j.r.Method != http.MethodHead,
		IDField: j.node.dialect.IDField(), ID: j.headers.ID,
		ShouldSend: a.maySend,
	}
	if !j.route.Repeatable() {
		req.MaxIdle = nonIdempotentMaxIdle
	}
	return req
}
