package fleet

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/hickorybank/hickorybank/internal/pacing"
)

// limited tells whether the upstream has named a rate limit.
func (u *Upstream) limited() bool { return u.said.Limit().Named }

// paced tells whether the upstream gets no more than a rate from all nodes together.
func (u *Upstream) paced(now time.Time) bool { return u.limited() || u.cold(now) }

// limiters calls use for each share of the upstream's rates that binds this node now, with
// a nil limiter where other nodes send. Where an upstream warms up and names a limit, both
// bind: the lesser holds.
func (f *Fleet) limiters(u *Upstream, now time.Time, use func(s *pacing.Share, limit *rate.Limiter)) {
	if w := f.warmUps[u.Service]; w.Rate > 0 && u.cold(now) {
		use(&u.warmUpShare, u.warmUpShare.Limiter(u.said.Start(), w.bound(), &f.senders, now))
	}
	if u.limited() {
		use(&u.limitShare, u.limitShare.Limiter(u.said.Start(), pacing.Named(u.said.Limit().PerSecond), &f.senders, now))
	}
}

// admits tells whether this node may send the upstream a request now.
//
// Without this, an upstream that has just started looks idle to all nodes, and the burst
// that they send crashes it; one that is in need goes on getting its usual part of the load.
func (f *Fleet) admits(u *Upstream, now time.Time) bool {
	if !u.paced(now) {
		return true
	}
	room := true
	f.limiters(u, now, func(_ *pacing.Share, limit *rate.Limiter) {
		room = room && limit != nil && limit.TokensAt(now) >= 1
	})
	return room
}

// spend takes a request from this node's shares of the upstream's rates.
func (f *Fleet) spend(u *Upstream, now time.Time) {
	f.limiters(u, now, func(_ *pacing.Share, limit *rate.Limiter) {
		if limit != nil {
			limit.AllowN(now, 1)
		}
	})
}

// confirmAfter is how long a rate limit stands without an answer before a request goes to its
// upstream for the answer's sake.
const confirmAfter = 4 * time.Second

// unconfirmed returns an upstream of a list whose rate limit no answer has confirmed for
// long; nil where there is none.
//
// Without this, a limit outlives its cause: where others have room nothing is sent to the
// upstream, and only its answers tell that it is over.
func unconfirmed(all []*Upstream, now time.Time) *Upstream {
	for _, u := range all {
		if u.limited() && now.Sub(u.said.ReadAt()) > confirmAfter && now.Sub(u.sentAt) > confirmAfter {
			return u
		}
	}
	return nil
}

// pacedOf returns the upstreams of a list that get no more than a rate: this node is one of
// few that may send to them, so that a sample seldom has them.
func pacedOf(all []*Upstream, now time.Time) []*Upstream {
	var paced []*Upstream
	for _, u := range all {
		if u.paced(now) {
			paced = append(paced, u)
		}
	}
	return paced
}
