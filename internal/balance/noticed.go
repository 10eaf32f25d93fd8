package balance

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/hickorybank/hickorybank/internal/notice"
	"github.com/hickorybank/hickorybank/internal/pacing"
)

// SetSenders sets this node's ID and the IDs of all entry nodes, among which the rate
// limits that upstreams advertise are divided.
func (b *Balancer) SetSenders(self string, all []string) { b.senders.Set(self, all) }

// ApplyResponse records what an upstream announced about itself in a response that was read
// at the given time.
func (b *Balancer) ApplyResponse(vmID string, response notice.Response, at time.Time) {
	h := b.hosts[vmID]
	if h == nil {
		return
	}
	if response.Leaving {
		b.MarkLeaving(vmID, at)
	}
	b.backOff(h, response.Backoff, b.since(at))
	if !response.LimitInvalid && b.since(at) >= h.rateLimitAt { // a response read earlier does not override a later one
		b.setRateLimit(h, response.Limit, b.since(at))
	}
}

// Restarted records that a new process answers at an upstream. The rate limit and the
// back-off that the previous process requested no longer apply.
func (b *Balancer) Restarted(vmID string) {
	if h := b.hosts[vmID]; h != nil {
		h.backoffUntil, h.rateLimit = 0, notice.Limit{}
	}
}

// backOff stops sending to an upstream that requested a back-off of length d.
func (b *Balancer) backOff(h *host, d, at time.Duration) {
	if d <= 0 {
		return
	}
	if at >= h.backoffUntil {
		b.recordChange(h, BackoffBegan)
	}
	jitter := float64(mix(b.settings.Seed, h.hash)>>11) / (1 << 53)
	h.backoffUntil = max(h.backoffUntil, at+d+time.Duration(backoffJitter*jitter*float64(d)))
}

// backoffJitter is the largest fraction by which a node lengthens a back-off. Each node
// adds its own part, so that nodes that were turned away together do not return together.
const backoffJitter = 0.2

// setRateLimit records the rate limit that an upstream advertises, or that it advertises
// none.
func (b *Balancer) setRateLimit(h *host, l notice.Limit, at time.Duration) {
	wasNamed := h.rateLimit.Named
	h.rateLimit, h.rateLimitAt = l, at
	switch {
	case l.Named && !wasNamed:
		b.recordChange(h, LimitBegan)
	case wasNamed && !l.Named:
		b.recordChange(h, LimitEnded)
	}
}

// rateLimiter returns the limiter for this node's share of the upstream's rate limit, or
// nil when other nodes send in its place.
func (b *Balancer) rateLimiter(h *host, now time.Duration) *rate.Limiter {
	return h.rateShare.Limiter(h.vm.ID, pacing.AdvertisedBound(h.rateLimit.PerSecond), &b.senders, b.base.Add(now))
}

// maySend reports whether back-off and rate limit allow a request to the upstream now.
func (b *Balancer) maySend(h *host, now time.Duration) bool {
	if now < h.backoffUntil {
		return false
	}
	if !h.rateLimit.Named {
		return true
	}
	l := b.rateLimiter(h, now)
	return l != nil && l.TokensAt(b.base.Add(now)) >= 1
}

// takeRateToken takes a request from this node's share of the upstream's rate limit.
func (b *Balancer) takeRateToken(h *host, now time.Duration) {
	if !h.rateLimit.Named {
		return
	}
	if l := b.rateLimiter(h, now); l != nil {
		l.AllowN(b.base.Add(now), 1)
	}
}

// nextSendAt returns when this node, or one that sends in its place, may next send to the
// upstream.
func (b *Balancer) nextSendAt(h *host, now time.Duration) time.Duration {
	return max(h.backoffUntil, b.nextRateTokenAt(h, now))
}

func (b *Balancer) nextRateTokenAt(h *host, now time.Duration) time.Duration {
	if !h.rateLimit.Named {
		return now
	}
	l := b.rateLimiter(h, now)
	if l == nil {
		return now + min(time.Duration(float64(time.Second)/h.rateShare.Rate()), pacing.MaxWait)
	}
	return b.since(pacing.NextToken(l, b.base.Add(now)))
}
