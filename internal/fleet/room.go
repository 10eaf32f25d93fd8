package fleet

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/hickorybank/hickorybank/internal/pacing"
)

// NextAvailable returns the earliest time at which an upstream may take the attempt,
// provided that only known bounds prevent it: back-offs and rate limits. ok is false if an
// upstream may become available at any moment, or if there is none that could.
func (f *Fleet) NextAvailable(spec *AttemptSpec, now time.Time) (at time.Time, ok bool) {
	for _, u := range f.services[spec.Service].poolFor(spec).sorted() {
		if !f.matches(u, spec) || u.isLeaving() || u.replaced || f.evacuated[u.Domain] || slices.Contains(spec.Tried, u.ID) {
			continue
		}
		if now.Before(u.ejectedUntil) {
			return time.Time{}, false
		}
		available := f.nextAllowed(u, now)
		if !ok || available.Before(at) {
			at, ok = available, true
		}
	}
	return at, ok
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// nextAllowed returns the time at which this node may send the upstream a request. If other
// nodes send in its place, it is the time at which one of them probably may.
func (f *Fleet) nextAllowed(u *Upstream, now time.Time) time.Time {
	next := latest(now, u.backoffUntil())
	f.forEachLimiter(u, now, func(b pacing.Bound, limiter *rate.Limiter) {
		allowed := now.Add(min(time.Duration(float64(time.Second)/b.Rate), pacing.MaxWait))
		if limiter != nil {
			allowed = pacing.NextToken(limiter, now)
		}
		next = latest(next, allowed)
	})
	return next
}
