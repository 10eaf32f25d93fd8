package membership

import "time"

// flushRetry is the time before bills are flushed again when that was not
// answered: the platform's store may be down.
const flushRetry = time.Second

// stopPhase is how far a stop has come.
type stopPhase uint8

const (
	serving stopPhase = iota
	// telling: the peers are being told.
	telling
	// waiting: answers that name this node may still be held by callers.
	waiting
	// draining: no request begins, some run, or connections linger.
	draining
	// flushing: nothing runs, bills may be on their way.
	flushing
	exited
)

// Stopping decides the steps of a planned stop. It does no I/O and has no
// clock. There is no limit to the time in which running requests end: the stop
// cuts off none. A second order to stop changes nothing, so that it loses
// nothing either.
type Stopping struct {
	settings Settings
	phase    stopPhase
	ordered  time.Time
	// until is when the last answer that names this node has run out.
	until time.Time
	// linger is when connections without a request may be closed.
	linger     time.Time
	idleClosed bool
	next       time.Time // of the next flush
}

// NewStopping returns the state machine of a node that serves.
func NewStopping(s Settings) *Stopping { return &Stopping{settings: s.WithDefaults()} }

// Ordered says whether a stop was ordered.
func (s *Stopping) Ordered() bool { return s.phase != serving }

// Step takes an event at a time with the number of requests that run, and
// returns the steps to take now, in order.
func (s *Stopping) Step(now time.Time, e StopEvent, running int) []StopStep {
	// A request that was let in just before the refusal began may have made a
	// bill after the flush: flush again when it has ended.
	if s.phase == flushing && running > 0 {
		s.phase = draining
	}
	switch {
	case e == StopOrdered && s.phase == serving:
		s.phase = telling
		s.ordered = now
		return []StopStep{LeaveAddresses}
	case e == PeersTold && s.phase == telling:
		s.wait(now.Add(s.settings.TellTime))
	case e == PeersMissed && s.phase == telling:
		s.wait(now.Add(s.settings.ListTime))
	case e == BillsFlushed && s.phase == flushing:
		s.phase = exited
		return []StopStep{Exit}
	}
	return s.advance(now, running)
}

// wait begins the time in which callers may come with answers given up to a
// moment.
func (s *Stopping) wait(lastAnswer time.Time) {
	s.phase = waiting
	s.until = lastAnswer.Add(s.settings.AnswerTTL)
}

// closeIdle is the step that closes connections, once.
func (s *Stopping) closeIdle() []StopStep {
	if s.idleClosed {
		return nil
	}
	s.idleClosed = true
	return []StopStep{CloseIdle}
}

func (s *Stopping) advance(now time.Time, running int) []StopStep {
	var steps []StopStep
	// The word that the peers were told may never come; then they learn it
	// from the list.
	if s.phase == telling && now.Sub(s.ordered) >= s.settings.ListTime {
		s.wait(now)
	}
	if s.phase == waiting && !now.Before(s.until) {
		s.phase = draining
		s.linger = now.Add(s.settings.LingerTime)
		steps = append(steps, RefuseNew)
	}
	// It guards against a request that is on its way over a connection which
	// this node takes for idle: its caller sees the connection break without
	// an answer. Whoever still sends meanwhile hears "not run" and that the
	// connection ends, so only connections that nobody uses are left to close.
	if s.phase == draining && running == 0 && !now.Before(s.linger) {
		s.phase = flushing
		s.next = now
		steps = append(steps, s.closeIdle()...)
	}
	if s.phase == flushing && !now.Before(s.next) {
		s.next = now.Add(flushRetry)
		steps = append(steps, Flush)
	}
	return steps
}
