package fleet

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/hickorybank/hickorybank/internal/pacing"
)

// limited reports whether the upstream advertises a rate limit.
func (u *Upstream) limited() bool { return u.announced.Limit().Named }

// rateBound reports whether a rate bound over all nodes applies to the upstream: an
// advertised limit or the warm-up rate.
func (u *Upstream) rateBound(now time.Time) bool { return u.limited() || u.warmingUp(now) }

// forEachLimiter calls visit for each share of the upstream's bounds that applies to this
// node now. The limiter is nil if other nodes send in its place. If an upstream warms up
// and advertises a limit, both bounds apply.
func (f *Fleet) forEachLimiter(u *Upstream, now time.Time, visit func(b pacing.Bound, limiter *rate.Limiter)) {
	u.use()
	limiterOf := (*pacing.Share).Limiter
	if f.inspecting {
		limiterOf = (*pacing.Share).Peek
	}
	if w := f.warmUps[u.Service]; w.Rate > 0 && u.warmingUp(now) {
		b := w.bound()
		visit(b, limiterOf(&u.warmUpShare, u.Incarnation(), b, &f.senders, now))
	}
	if u.limited() {
		b := pacing.AdvertisedBound(u.announced.Limit().PerSecond)
		visit(b, limiterOf(&u.limitShare, u.Incarnation(), b, &f.senders, now))
	}
}

// withinRate reports whether the upstream's rate bounds let this node send a request now.
//
// Without them, an upstream that has just started looks idle to all nodes, and the
// resulting burst crashes it. An overloaded upstream would continue to get its usual share
// of the load.
func (f *Fleet) withinRate(u *Upstream, now time.Time) bool {
	if !u.rateBound(now) {
		return true
	}
	allowed := true
	f.forEachLimiter(u, now, func(_ pacing.Bound, limiter *rate.Limiter) {
		allowed = allowed && limiter != nil && limiter.TokensAt(now) >= 1
	})
	return allowed
}

// takeTokens takes one token from each of this node's limiters for the upstream.
func (f *Fleet) takeTokens(u *Upstream, now time.Time) {
	f.forEachLimiter(u, now, func(_ pacing.Bound, limiter *rate.Limiter) {
		if limiter != nil {
			limiter.AllowN(now, 1)
		}
	})
}

// limitConfirmAfter is how long a rate limit may stay unconfirmed by a response until a
// request is sent to the upstream just to get one.
const limitConfirmAfter = 4 * time.Second

// isUnconfirmed reports whether the upstream's rate limit has not been confirmed by a
// response for limitConfirmAfter.
//
// Such an upstream gets the next request. Without that, a limit outlives its cause: while
// other upstreams have capacity, no request goes to the limited one, and only its responses
// end the limit.
func (u *Upstream) isUnconfirmed(now time.Time) bool {
	return u.limited() && now.Sub(u.announced.ReadAt()) > limitConfirmAfter && now.Sub(u.lastSentAt) > limitConfirmAfter
}

// rateBoundCandidates appends the candidates with a rate bound to out. Only a few nodes may
// send to each, so that a sample rarely contains one that this node may use.
func (f *Fleet) rateBoundCandidates(spec *AttemptSpec, now time.Time, out []*Upstream) []*Upstream {
	index := f.services[spec.Service]
	if index == nil {
		return out
	}
	kept := index.rateBound[:0]
	for _, u := range index.rateBound {
		if !u.rateBound(now) {
			u.inRateBound = u.inRateBound && f.inspecting
			continue
		}
		if !f.inspecting {
			kept = append(kept, u)
		}
		if f.isCandidate(u, spec, now) {
			out = append(out, u)
		}
	}
	if f.inspecting {
		return out
	}
	clear(index.rateBound[len(kept):])
	index.rateBound = kept
	return out
}
