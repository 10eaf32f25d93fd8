package gateway

import (
	"log/slog"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/exchange"
	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/streamwatch"
)

// standby looks for another upstream to go on with a stream that is silent, while the stream stays
// open: its upstream may go on by itself, and nothing else is certain to.
//
// The stream's reader calls wait before and received after each read. In between the reader does not
// touch the job, so that the timer may use it under mu.
type standby struct {
	job     *job
	attempt *attempt
	stream  *exchange.Response

	mu    sync.Mutex
	timer *time.Timer
	// waiting is set while the reader waits for the next event. silentSince is when the last one
	// came; zero before the wait for the next one begins.
	waiting     bool
	silentSince time.Time
	// timeout is the stall timeout of the next event. askAt is when to ask next whether the stream may
	// go on elsewhere, asked is set once that was done since the last event.
	timeout time.Duration
	askAt   time.Time
	asked   bool
	// lost is set if the link to the stream's upstream was lost since the last event.
	lost bool
	// vain counts the resumed runs that were ended because the stream went on.
	vain int
	// pending is a resumed run that has sent no event. taken is the one that replaces the stream.
	pending, taken *resumedRun
}

// newStandby returns the standby of a stream; nil if the stream can't resume at another upstream.
func newStandby(a *attempt, stream *exchange.Response) *standby {
	if !a.job.route.Resumable || a.job.trial != 0 {
		return nil
	}
	return &standby{job: a.job, attempt: a, stream: stream}
}

// wait starts the stall timeout of the next event, after a number of events.
func (s *standby) wait(events int) {
	if s == nil || s.job.attemptsLeft() < 1 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = true
	now := time.Now()
	if s.silentSince.IsZero() {
		s.timeout = s.job.stallTimeout(events) << min(s.vain, maxStallBackoff)
		s.silentSince, s.askAt, s.asked = now, now.Add(s.timeout), false
	}
	if s.timer == nil {
		s.timer = time.AfterFunc(s.askAt.Sub(now), s.fire)
	} else {
		s.timer.Reset(s.askAt.Sub(now))
	}
	s.settle(now)
}

// maxStallBackoff bounds how often the stall timeout of a stream doubles. It doubles each time that
// the stream has gone on although another upstream was asked.
const maxStallBackoff = 3

// received ends the wait. It returns false if the stream has been replaced. With progress, the
// stream has sent an event; bytes that trickle in without one are no progress.
func (s *standby) received(progress bool) bool {
	if s == nil {
		return true
	}
	pending, taken := s.stopWaiting(progress)
	if pending != nil {
		pending.drop(s.job, fleet.Abandoned)
		s.vain++
	}
	return taken == nil
}

// stopWaiting ends the wait, after which the job is the reader's. With all, the pending run is taken
// out of the standby; nil for none.
func (s *standby) stopWaiting(all bool) (pending, taken *resumedRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = false
	if s.timer != nil {
		s.timer.Stop()
	}
	if all && s.taken == nil {
		s.silentSince, s.lost = time.Time{}, false
		pending, s.pending = s.pending, nil
	}
	return pending, s.taken
}

// end ends the standby of a stream that has ended, and returns the run that replaces it; nil for
// none. broken is set if the stream broke off: a run that is still pending may then replace it.
func (s *standby) end(broken bool) *resumedRun {
	if s == nil {
		return nil
	}
	pending, taken := s.stopWaiting(true)
	switch {
	case pending == nil:
	case !broken:
		pending.drop(s.job, fleet.Abandoned)
	case pending.await(s.job):
		return pending
	default:
		pending.drop(s.job, fleet.Moved)
	}
	return taken
}

// dropPending ends a pending run and records its result; the caller holds mu.
func (s *standby) dropPending(result fleet.Result) {
	if s.pending == nil {
		return
	}
	s.pending.drop(s.job, result)
	s.pending = nil
}

// fire begins a resumed run beside the silent stream if there is an upstream and the retry budget
// allows it. Otherwise it asks again later.
func (s *standby) fire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.waiting || now.Before(s.askAt) {
		return
	}
	if !s.asked {
		s.asked = true
		s.job.node.metrics.Counter("hickorybank_silent_streams_total", "service", s.job.service).Inc()
	}
	s.dropPending(fleet.Moved)
	silence := s.job.node.streams.Silence(s.job.service, s.job.silenceThreshold(), now)
	run, verdict := s.begin(silence, now)
	s.log(verdict, silence, now)
	if verdict != noAttemptLeft {
		s.askAt = now.Add(s.timeout)
		s.timer.Reset(s.timeout)
	}
	if run == nil {
		return
	}
	s.pending = run
	go s.follow(run)
}

// linkLost looks for another upstream at once, as the link to the stream's is lost. It returns false:
// the stream stays open.
func (s *standby) linkLost() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting && !s.lost {
		s.lost, s.askAt = true, time.Now()
		s.timer.Reset(0)
	}
	return false
}

// cause returns why a stream was replaced.
func (s *standby) cause() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return errLinkSilent
	}
	return errReplaced
}

// verdict is the answer to the question whether a silent stream may go on elsewhere.
type verdict string

const (
	mayMove       verdict = "begun"
	noAttemptLeft verdict = "no_attempt_left"
	commonSilence verdict = "common_silence"
	noOther       verdict = "no_upstream"
	noBudget      verdict = "retry_budget"
	mayNotRun     verdict = "crashes_upstreams"
)

// begin returns a resumed run that has been taken from the retry budget; nil if there is none. The
// caller holds mu.
func (s *standby) begin(silence streamwatch.Silence, now time.Time) (*resumedRun, verdict) {
	j := s.job
	switch {
	case j.attemptsLeft() < 1 || j.connectFailures > maxConnectFailures:
		return nil, noAttemptLeft
	case s.isCommon(silence, now):
		return nil, commonSilence
	case !j.mayRun():
		return nil, mayNotRun
	}
	if !s.lost { // peers reach the upstreams that are silent to this node
		j.avoided = silence.Upstreams
		defer func() { j.avoided = nil }()
	}
	if !j.node.hasUpstream(j, now) {
		return nil, noOther
	}
	if !j.retryReserved && !j.node.allowRetry(j.service, 0) {
		return nil, noBudget
	}
	j.retryReserved = true
	a, _ := j.node.newAttempt(j)
	if a == nil {
		return nil, noOther
	}
	j.retryReserved = false
	return newResumedRun(j, a), mayMove
}

// isCommon reports whether a silence is common, so that another upstream is no better. One that
// lasts is not: the upstreams without open streams may go on. Peers may reach upstreams that are
// silent to this node only.
func (s *standby) isCommon(silence streamwatch.Silence, now time.Time) bool {
	lasts := now.Sub(s.silentSince) >= commonSilenceFactor*s.timeout
	return !s.lost && !lasts && silence.IsCommon()
}

// follow waits for the first event of a resumed run.
func (s *standby) follow(run *resumedRun) {
	run.do()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == run && s.waiting {
		s.settle(time.Now())
	}
}

// settle lets a pending run that has sent an event replace the stream that the reader waits for. In
// place of a run that failed another one is looked for at once. The caller holds mu.
func (s *standby) settle(now time.Time) {
	switch {
	case s.pending == nil || !s.pending.isDone():
	case s.pending.goesOn():
		s.pending, s.taken = nil, s.pending
		s.waiting = false
		s.taken.resp.OnLinkLost(func() bool { return false })
		s.stream.Abort() // ends the reader's wait
	default:
		s.dropPending(fleet.Moved)
		s.askAt = now
		s.timer.Reset(0)
	}
}

// log records a verdict on the silent stream; the caller holds mu.
func (s *standby) log(v verdict, silence streamwatch.Silence, now time.Time) {
	j := s.job
	j.node.logEvent(event.StreamSilent, j, slog.String("upstream", s.attempt.id), slog.String("last_event", j.lastEvent),
		slog.Int64("silent_ms", now.Sub(s.silentSince).Milliseconds()), slog.String("resumed_run", string(v)), slog.Bool("link_lost", s.lost),
		slog.Int("silent_upstreams", len(silence.Upstreams)), slog.Int("streaming_upstreams", silence.Streaming))
}
