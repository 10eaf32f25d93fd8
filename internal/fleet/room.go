package fleet

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/hickorybank/hickorybank/internal/pacing"
)

// RoomAt is when an upstream may take the attempt again, where all that could are only kept
// from it by bounds of their own whose end is known; ok is false where one may be free at
// any moment, or none is known.
func (f *Fleet) RoomAt(w *AttemptSpec, now time.Time) (at time.Time, ok bool) {
	for _, u := range f.services[w.Service] {
		if !f.fits(u, w) || u.leaves() || u.replaced || f.evacuated[u.Domain] || slices.Contains(w.Tried, u.ID) {
			continue
		}
		if now.Before(u.ejected) {
			return time.Time{}, false
		}
		next := f.nextRoom(u, now)
		if !ok || next.Before(at) {
			at, ok = next, true
		}
	}
	return at, ok
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// nextRoom is when this node may send the upstream a request. Where other nodes send in its
// place, it is when one of them probably may.
func (f *Fleet) nextRoom(u *Upstream, now time.Time) time.Time {
	next := later(now, u.restsUntil())
	f.limiters(u, now, func(s *pacing.Share, limit *rate.Limiter) {
		room := now.Add(min(time.Duration(float64(time.Second)/s.Rate()), pacing.MostPause))
		if limit != nil {
			room = pacing.NextToken(limit, now)
		}
		next = later(next, room)
	})
	return next
}
