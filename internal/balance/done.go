package balance

import "time"

// fullFor is how long an upstream that declined a request counts as full.
const fullFor = 250 * time.Millisecond

// FirstToken tells that the attempt's first piece came, after the given time.
// It is optional, and lets a slow upstream be seen before long answers end.
func (b *Balancer) FirstToken(t Token, after time.Duration, now time.Time) {
	s := b.slots.get(t)
	if s == nil || s.answered {
		return
	}
	b.sawFirst = true
	s.answered = true
	s.pool.typical.judge(&s.host.outlier, after, 0)
}

// Done tells how an attempt ended.
func (b *Balancer) Done(t Token, r Result, now time.Time) {
	s := b.slots.get(t)
	if s == nil {
		return
	}
	at := b.since(now)
	h := s.host
	h.inFlight--
	s.pool.inFlight--
	if s.alone {
		h.isolated--
	}
	b.settle(s, r, at)
	b.slots.release(t)
}

// settle draws the conclusions from an attempt's end.
func (b *Balancer) settle(s *slot, r Result, now time.Duration) {
	h := s.host
	switch r.Outcome {
	case Succeeded:
		if h.breaker.succeeded() && h.domain != nil {
			h.domain.closed()
			b.changed(h, Closed)
			b.refresh(now)
		}
		h.ended(false)
		h.hold.add(now - s.started)
		b.measure(s, r)
	case Unreached:
		h.ended(true)
		b.failed(h, unreachable, now)
	case Broken:
		h.ended(true)
		b.failed(h, brokenOff, now)
	case Declined:
		h.fullUntil = now + fullFor
		h.breaker.abandoned()
	case MissingVersion:
		h.breaker.abandoned()
		h.lacks(s.version, now)
		b.rebuild(now)
	case Abandoned:
		h.breaker.abandoned()
	}
}

func (b *Balancer) failed(h *host, f failure, now time.Duration) {
	jitter := float64(mix(b.settings.Seed, h.hash^uint64(now))>>11) / (1 << 53)
	if h.breaker.failed(b.settings.Breaker, f, now, jitter) && h.domain != nil {
		h.domain.opened(now)
		b.changed(h, Opened)
		b.refresh(now)
	}
}

// measure compares the attempt's times with those of its pool.
func (b *Balancer) measure(s *slot, r Result) {
	first := r.FirstToken
	if r.Tokens == 0 {
		first = r.Latency // a plain service: its answer comes at once
	}
	if s.answered {
		first = 0 // has been counted
	}
	var gap time.Duration
	if r.Tokens > 1 {
		gap = (r.Latency - r.FirstToken) / time.Duration(r.Tokens-1)
	}
	s.pool.typical.judge(&s.host.outlier, first, gap)
}
