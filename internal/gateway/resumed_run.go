package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/hickorybank/hickorybank/internal/exchange"
	"github.com/hickorybank/hickorybank/internal/fleet"
)

// resumedRun is an attempt to go on with a stream that is still open at another upstream.
type resumedRun struct {
	attempt *attempt
	request *exchange.Request
	ctx     context.Context
	cancel  context.CancelFunc
	// done is closed once the first event has come, or the run has failed.
	done    chan struct{}
	resp    *exchange.Response
	reply   Reply
	failure *exchange.Failure
	// events reads the stream. broke is set if that broke off before its first event.
	events *eventReader
	broke  error
	after  string
}

// newResumedRun returns the run of an attempt after the job's last event.
func newResumedRun(j *job, a *attempt) *resumedRun {
	j.tried = append(j.tried, a.id)
	r := &resumedRun{attempt: a, request: j.upstreamRequest(a), after: j.resumesAfter(), done: make(chan struct{})}
	r.request.ShouldSend = a.upstreamAccepts
	r.request.LinkLost = func() bool { return true } // the stream that it would replace is still open
	r.ctx, r.cancel = context.WithCancel(j.ctx)
	return r
}

// do sends the request and reads its response up to the first event.
func (r *resumedRun) do() {
	defer close(r.done)
	n := r.attempt.job.node
	r.resp, r.failure = n.pool.Do(r.ctx, r.attempt.addr, r.request)
	if r.failure != nil {
		return
	}
	r.reply = n.dialect.Reply(r.resp.Status, r.resp.Header)
	if r.resp.Status != http.StatusMisdirectedRequest { // another upstream answered
		n.noteResponse(r.attempt.up, r.reply, r.resp.HeadReadAt)
	}
	if r.reply.NotRun || r.resp.Status != http.StatusOK {
		return
	}
	r.events = r.attempt.job.newEventReader(r.resp, r.after)
	first := r.events.await()
	if first.count == 0 && (first.err != io.EOF || r.resp.Unframed) && r.ctx.Err() == nil {
		r.broke = first.err
		if first.err == io.EOF {
			r.broke = errNoEvent
		}
	}
}

// isDone reports whether the first event has come, or the run has failed.
func (r *resumedRun) isDone() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// goesOn reports whether the run goes on with the stream, or ends it.
func (r *resumedRun) goesOn() bool {
	return r.isDone() && r.events != nil && r.broke == nil && r.ctx.Err() == nil
}

// await waits for the first event, for as long as an attempt may wait without one. It
// reports whether the run goes on with the stream.
func (r *resumedRun) await(j *job) bool {
	t := time.NewTimer(lateDelay(j.route.LatencyGoal, time.Until(j.deadline)))
	defer t.Stop()
	select {
	case <-r.done:
	case <-j.ctx.Done():
	case <-t.C:
	}
	return r.goesOn()
}

// noteStarted records that the run's response has started.
func (r *resumedRun) noteStarted(j *job) {
	j.noteReached()
	r.attempt.markStarted()
}

// close ends a run that has replaced a stream.
func (r *resumedRun) close() {
	r.cancel()
	r.resp.Close()
	r.attempt.finish(fleet.Abandoned) // counts if it has no result yet
}

// drop ends the run and records its result: the given one if it had no result of its own.
func (r *resumedRun) drop(j *job, result fleet.Result) {
	r.cancel()
	<-r.done
	a := r.attempt
	switch {
	case r.failure != nil && r.failure.Reason == exchange.Cancelled:
		if r.failure.Sent {
			j.noteReached()
			a.leave()
		}
		a.unreachable = !r.failure.Sent
		a.finish(result)
	case r.failure != nil:
		j.noteFailedAttempt(a, r.failure, false)
	case r.reply.NotRun:
		r.noteStarted(j)
		j.noteDeclined(a, r.resp)
	case r.resp.Status != http.StatusOK:
		r.noteStarted(j)
		j.noteNotResumed(a, r.resp)
	case r.broke != nil:
		r.noteStarted(j)
		j.noteReplaced(a, r.resp, r.broke, 0)
	default:
		r.noteStarted(j)
		r.resp.Close()
		a.finish(fleet.Abandoned)
		a.leave()
	}
	j.retryReserved = j.retryReserved || r.failure != nil && !r.failure.Sent // it reached no upstream
}
