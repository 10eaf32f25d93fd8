package balance

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/hickorybank/hickorybank/internal/notice"
	"github.com/hickorybank/hickorybank/internal/pacing"
)

// SetSenders names this node and all entry nodes, among which the rates of upstreams that
// name a limit are shared.
func (b *Balancer) SetSenders(self string, all []string) { b.senders.Set(self, all) }

// Noticed takes what an upstream said of itself in an answer that was read at a time.
func (b *Balancer) Noticed(vmID string, a notice.Answer, at time.Time) {
	h := b.hosts[vmID]
	if h == nil {
		return
	}
	if a.Leaving {
		b.Leaving(vmID, at)
	}
	b.rests(h, a.Rest, b.since(at))
	if !a.LimitUnsound && b.since(at) >= h.limitAt { // what was said before says nothing
		b.limits(h, a.Limit, b.since(at))
	}
}

// Restarted tells that another process answers at an upstream: what the one before said of
// itself does not hold for it.
func (b *Balancer) Restarted(vmID string) {
	if h := b.hosts[vmID]; h != nil {
		h.restUntil, h.limit = 0, notice.Limit{}
	}
}

// rests notes that an upstream wants nothing from this node for a time.
func (b *Balancer) rests(h *host, d, at time.Duration) {
	if d <= 0 {
		return
	}
	if at >= h.restUntil {
		b.changed(h, RestBegan)
	}
	spread := float64(mix(b.settings.Seed, h.hash)>>11) / (1 << 53)
	h.restUntil = max(h.restUntil, at+d+time.Duration(restSpread*spread*float64(d)))
}

// restSpread is the part of a rest by which nodes lengthen it at most, each by its own: those
// that were turned away together must not return together.
const restSpread = 0.2

// limits takes the rate limit that an upstream names, or that it names none.
func (b *Balancer) limits(h *host, l notice.Limit, at time.Duration) {
	before := h.limit.Named
	h.limit, h.limitAt = l, at
	switch {
	case l.Named && !before:
		b.changed(h, LimitBegan)
	case before && !l.Named:
		b.changed(h, LimitEnded)
	}
}

// limiter returns this node's part of the upstream's rate limit; nil where others send.
func (b *Balancer) limiter(h *host, now time.Duration) *rate.Limiter {
	return h.share.Limiter(h.vm.ID, pacing.Named(h.limit.PerSecond), &b.senders, b.base.Add(now))
}

// admits tells whether this node may send the upstream a request now.
func (b *Balancer) admits(h *host, now time.Duration) bool {
	if now < h.restUntil {
		return false
	}
	if !h.limit.Named {
		return true
	}
	l := b.limiter(h, now)
	return l != nil && l.TokensAt(b.base.Add(now)) >= 1
}

// spend takes a request from this node's part of the upstream's rate limit.
func (b *Balancer) spend(h *host, now time.Duration) {
	if !h.limit.Named {
		return
	}
	if l := b.limiter(h, now); l != nil {
		l.AllowN(b.base.Add(now), 1)
	}
}

// pacedUntil is when this node, or one that sends in its place, may send the upstream a
// request.
func (b *Balancer) pacedUntil(h *host, now time.Duration) time.Duration {
	return max(h.restUntil, b.nextToken(h, now))
}

func (b *Balancer) nextToken(h *host, now time.Duration) time.Duration {
	if !h.limit.Named {
		return now
	}
	l := b.limiter(h, now)
	if l == nil {
		return now + min(time.Duration(float64(time.Second)/h.share.Rate()), pacing.MostPause)
	}
	return b.since(pacing.NextToken(l, b.base.Add(now)))
}
