package balance

import "time"

// breaker keeps requests from an upstream that fails.
//
// It guards against an upstream that has crashed, is unreachable or breaks
// its answers off while the VM list still calls it live: each request sent
// there would be lost or late. It shows as failures in a row. After a pause
// one request at a time probes whether it is back, so that at most one
// request a pause is spent on a dead upstream.
type breaker struct {
	failures int
	// until is when an open breaker lets a probe through; 0 is closed.
	until   time.Duration
	pause   time.Duration
	probing bool
	// heard says that the upstream has answered a poll since it opened or a
	// probe failed.
	heard bool
	// last is how the last request or poll failed.
	last failure
}

// failure is a way in which a request or poll fails.
type failure int

const (
	// unreachable: nothing was heard of the upstream.
	unreachable failure = iota
	// brokenOff: the upstream was reached, and its answer broke off.
	brokenOff
)

func (b *breaker) open() bool { return b.until != 0 }

// allows says whether a request may go through, perhaps as the probe.
func (b *breaker) allows(now time.Duration) bool {
	if b.until == 0 {
		return true
	}
	return now >= b.until && !b.probing
}

// taken tells that a request went through.
func (b *breaker) taken() {
	if b.until != 0 {
		b.probing = true
	}
}

// succeeded returns whether it closed an open breaker.
func (b *breaker) succeeded() bool {
	closed := b.open()
	*b = breaker{}
	return closed
}

// failed returns whether it opened a closed breaker.
func (b *breaker) failed(s BreakerSettings, f failure, now time.Duration, jitter float64) bool {
	b.failures++
	b.last = f
	if b.open() {
		b.reopen(s, now, jitter)
		return false
	}
	if b.failures < s.Failures {
		return false
	}
	b.pause = s.OpenFor
	b.heard = false
	b.until = now + spread(b.pause, jitter)
	return true
}

// reopen doubles the pause after a failed probe. Failures of requests that
// were in flight before it opened change nothing.
func (b *breaker) reopen(s BreakerSettings, now time.Duration, jitter float64) {
	if !b.probing {
		return
	}
	b.probing = false
	b.heard = false
	b.pause = min(2*b.pause, s.MaxOpenFor)
	b.until = now + spread(b.pause, jitter)
}

// abandoned tells that a request ended without saying anything of the upstream.
func (b *breaker) abandoned() { b.probing = false }

// alive takes in that the upstream has answered a poll. If it could not be
// reached before, it is back, and the next probe may go at once. If it was
// reached and broke its answers off, its polls were good all the time: they
// say nothing, and without the pause each of them would cost a request.
func (b *breaker) alive(now time.Duration) {
	if !b.open() {
		return
	}
	b.heard = true
	if b.last == unreachable {
		b.until = min(b.until, now)
	}
}

// spread keeps many nodes from probing at one moment: jitter is in [0,1).
func spread(d time.Duration, jitter float64) time.Duration {
	return d + time.Duration(float64(d)*jitter/2)
}
