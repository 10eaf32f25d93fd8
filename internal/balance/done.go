package balance

import "time"

// declinedFor is how long an upstream that declined a request counts as full.
const declinedFor = 250 * time.Millisecond

// FirstToken records that the first piece of the attempt's answer came after the given
// time. Calling it is optional; it lets a slow upstream be detected before long answers
// end.
func (b *Balancer) FirstToken(t Token, after time.Duration, now time.Time) {
	a := b.attempts.get(t)
	if a == nil || a.firstTokenSeen {
		return
	}
	b.firstTokensReported = true
	a.firstTokenSeen = true
	a.pool.typical.record(&a.host.outlier, after, 0)
}

// Done records how an attempt ended. A token that was already done is ignored.
func (b *Balancer) Done(t Token, r Result, now time.Time) {
	a := b.attempts.get(t)
	if a == nil {
		return
	}
	at := b.since(now)
	h := a.host
	h.inFlight--
	a.pool.inFlight--
	if a.isolated {
		h.isolatedInFlight--
	}
	b.applyResult(a, r, at)
	b.attempts.release(t)
}

// applyResult updates the upstream's state from an attempt's result.
func (b *Balancer) applyResult(a *attempt, r Result, now time.Duration) {
	h := a.host
	switch r.Outcome {
	case Succeeded:
		if h.breaker.succeeded() && h.domain != nil {
			h.domain.breakerClosed()
			b.recordChange(h, Closed)
			b.refreshPools(now)
		}
		h.recordOutcome(false)
		h.durations.add(now - a.started)
		b.recordTimes(a, r)
	case Unreached:
		h.recordOutcome(true)
		b.recordFailure(h, unreachable, now)
	case Broken:
		h.recordOutcome(true)
		b.recordFailure(h, interrupted, now)
	case Declined:
		h.declinedUntil = now + declinedFor
		h.breaker.probeAbandoned()
	case MissingVersion:
		h.breaker.probeAbandoned()
		h.removeVersion(a.version, now)
		b.rebuildPools(now)
	case Abandoned:
		h.breaker.probeAbandoned()
	}
}

func (b *Balancer) recordFailure(h *host, kind failureKind, now time.Duration) {
	jitter := float64(mix(b.settings.Seed, h.hash^uint64(now))>>11) / (1 << 53)
	if h.breaker.failed(b.settings.Breaker, kind, now, jitter) && h.domain != nil {
		h.domain.breakerOpened(now)
		b.recordChange(h, Opened)
		b.refreshPools(now)
	}
}

// recordTimes compares the attempt's times with those of its pool.
func (b *Balancer) recordTimes(a *attempt, r Result) {
	firstToken := r.FirstToken
	if r.Tokens == 0 {
		firstToken = r.Latency // a plain service has no first token
	}
	if a.firstTokenSeen {
		firstToken = 0 // FirstToken has recorded it
	}
	var tokenGap time.Duration
	if r.Tokens > 1 {
		tokenGap = (r.Latency - r.FirstToken) / time.Duration(r.Tokens-1)
	}
	a.pool.typical.record(&a.host.outlier, firstToken, tokenGap)
}
