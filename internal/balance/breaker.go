package balance

import "time"

// breaker is a circuit breaker that withholds requests from a failing upstream.
//
// It covers upstreams that have crashed, are unreachable or break off their answers while
// the VM list still shows them as live. Each request sent there would be lost or late.
// Consecutive failures open the breaker. After a pause one request at a time probes the
// upstream, so at most one request per pause is spent on an upstream that is down.
type breaker struct {
	consecutiveFailures int
	// probeAt is when an open breaker allows a probe; 0 means closed.
	probeAt time.Duration
	openFor time.Duration
	probing bool
	// pollAnswered is set when the upstream has answered a poll since the breaker opened
	// or the last probe failed.
	pollAnswered bool
	// lastFailure is how the last request or poll failed.
	lastFailure failureKind
}

// failureKind is how a request or poll failed.
type failureKind int

const (
	// unreachable: nothing was received from the upstream.
	unreachable failureKind = iota
	// interrupted: the upstream was reached, but its answer broke off.
	interrupted
)

func (b *breaker) open() bool { return b.probeAt != 0 }

// allowsRequest reports whether a request may be sent, be it as the probe.
func (b *breaker) allowsRequest(now time.Duration) bool {
	if b.probeAt == 0 {
		return true
	}
	return now >= b.probeAt && !b.probing
}

// requestSent marks the request as the probe when the breaker is open.
func (b *breaker) requestSent() {
	if b.probeAt != 0 {
		b.probing = true
	}
}

// succeeded closes the breaker and reports whether it was open.
func (b *breaker) succeeded() bool {
	closed := b.open()
	*b = breaker{}
	return closed
}

// failed records a failure and reports whether it opened a closed breaker.
func (b *breaker) failed(s BreakerSettings, kind failureKind, now time.Duration, jitter float64) bool {
	b.consecutiveFailures++
	b.lastFailure = kind
	if b.open() {
		b.reopen(s, now, jitter)
		return false
	}
	if b.consecutiveFailures < s.Failures {
		return false
	}
	b.openFor = s.OpenFor
	b.pollAnswered = false
	b.probeAt = now + addJitter(b.openFor, jitter)
	return true
}

// reopen doubles the pause after a failed probe. Failures of requests that were in flight
// before the breaker opened have no effect.
func (b *breaker) reopen(s BreakerSettings, now time.Duration, jitter float64) {
	if !b.probing {
		return
	}
	b.probing = false
	b.pollAnswered = false
	b.openFor = min(2*b.openFor, s.MaxOpenFor)
	b.probeAt = now + addJitter(b.openFor, jitter)
}

// probeAbandoned allows another probe after a request ended without showing anything
// about the upstream.
func (b *breaker) probeAbandoned() { b.probing = false }

// pollSucceeded records an answered poll. An upstream that was unreachable is back, so
// the next probe is allowed at once. An upstream that breaks off its answers keeps
// answering polls: these prove nothing, and without the pause each of them would cost a
// request.
func (b *breaker) pollSucceeded(now time.Duration) {
	if !b.open() {
		return
	}
	b.pollAnswered = true
	if b.lastFailure == unreachable {
		b.probeAt = min(b.probeAt, now)
	}
}

// addJitter lengthens d by up to half, so that many nodes do not probe at the same
// moment. jitter is in [0,1).
func addJitter(d time.Duration, jitter float64) time.Duration {
	return d + time.Duration(float64(d)*jitter/2)
}
