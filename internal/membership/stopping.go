package membership

import "time"

// flushRetry is the interval at which an incomplete flush of bills is repeated: the platform's
// store may be down.
const flushRetry = time.Second

// stopPhase is the progress of a stop.
type stopPhase uint8

const (
	serving stopPhase = iota
	// notifying: the peers are being notified.
	notifying
	// waiting: callers may still have cached answers that name this node.
	waiting
	// draining: new requests are refused; some are running, or connections are kept open.
	draining
	// flushing: no request is running; bills may not be durable yet.
	flushing
	exited
)

// Stopping is the state machine of a planned stop. It does no I/O and has no clock. It waits
// for running requests without a time limit, so that none is interrupted. Further stop
// requests have no effect, so that they cannot lose a request either.
type Stopping struct {
	settings Settings
	phase    stopPhase
	ordered  time.Time
	// refuseAt is when the last answer that names this node has expired.
	refuseAt time.Time
	// closeIdleAt is when connections without a request may be closed.
	closeIdleAt time.Time
	idleClosed  bool
	nextFlush   time.Time // time of the next flush
}

// NewStopping returns the state machine of a serving node.
func NewStopping(s Settings) *Stopping { return &Stopping{settings: s.WithDefaults()} }

// Ordered reports whether a stop was requested.
func (s *Stopping) Ordered() bool { return s.phase != serving }

// Step handles an event at now, with the number of running requests, and returns the steps to
// take, in order.
func (s *Stopping) Step(now time.Time, e StopEvent, running int) []StopStep {
	// A request admitted just before the refusal may create a bill after the flush: the
	// flush is repeated once it has ended.
	if s.phase == flushing && running > 0 {
		s.phase = draining
	}
	switch {
	case e == StopOrdered && s.phase == serving:
		s.phase = notifying
		s.ordered = now
		return []StopStep{LeaveAddresses}
	case e == PeersNotified && s.phase == notifying:
		s.startWaiting(now.Add(s.settings.NotifyTime))
	case e == PeersUnreachable && s.phase == notifying:
		s.startWaiting(now.Add(s.settings.ListLag))
	case e == BillsFlushed && s.phase == flushing:
		s.phase = exited
		return []StopStep{Exit}
	}
	return s.advance(now, running)
}

// startWaiting starts the wait for the expiry of answers given until lastAnswer.
func (s *Stopping) startWaiting(lastAnswer time.Time) {
	s.phase = waiting
	s.refuseAt = lastAnswer.Add(s.settings.AnswerTTL)
}

// closeIdle returns the step that closes connections, once.
func (s *Stopping) closeIdle() []StopStep {
	if s.idleClosed {
		return nil
	}
	s.idleClosed = true
	return []StopStep{CloseIdle}
}

// advance moves to the next phases that are due and returns their steps.
func (s *Stopping) advance(now time.Time, running int) []StopStep {
	var steps []StopStep
	// The report that the peers were notified may never arrive; by then the peers have
	// learned of the stop from the list.
	if s.phase == notifying && now.Sub(s.ordered) >= s.settings.ListLag {
		s.startWaiting(now)
	}
	if s.phase == waiting && !now.Before(s.refuseAt) {
		s.phase = draining
		s.closeIdleAt = now.Add(s.settings.LingerTime)
		steps = append(steps, RefuseNew)
	}
	// Closing a connection that looks idle could break off a request in transit, and its
	// caller would get no response. Until closeIdleAt callers that still send get the
	// response "not run" and the announcement that the connection will be closed, so that
	// only unused connections remain to be closed.
	if s.phase == draining && running == 0 && !now.Before(s.closeIdleAt) {
		s.phase = flushing
		s.nextFlush = now
		steps = append(steps, s.closeIdle()...)
	}
	if s.phase == flushing && !now.Before(s.nextFlush) {
		s.nextFlush = now.Add(flushRetry)
		steps = append(steps, Flush)
	}
	return steps
}
