package fleet

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/notice"
)

// Answered takes what an upstream said of itself in an answer that was read at a time; it
// returns what that has changed.
func (f *Fleet) Answered(u *Upstream, a notice.Answer, at, now time.Time) []notice.Change {
	return f.notices.Answer(u.said, a, at, now)
}

// TakeNotice takes what a peer tells of an upstream's answer; it returns what that has
// changed.
func (f *Fleet) TakeNotice(r notice.Report, now time.Time) []notice.Change {
	return f.notices.Take(r, now)
}

// Notices returns what a peer is told of upstreams' answers; first is set where it was not
// heard of before.
func (f *Fleet) Notices(now time.Time, first bool) []notice.Report {
	return f.notices.Reports(now, first)
}

// LeavingUpstreams is how many listed upstreams have said that they leave before the list
// did.
func (f *Fleet) LeavingUpstreams() (count int) {
	for _, u := range f.byID {
		if u.said.Leaving() && !u.Draining {
			count++
		}
	}
	return count
}

// RestingUpstreams is how many upstreams this node leaves alone, as they have asked for rest.
func (f *Fleet) RestingUpstreams(now time.Time) (count int) {
	for _, u := range f.byID {
		if now.Before(u.restsUntil()) {
			count++
		}
	}
	return count
}

// LimitedUpstreams is how many upstreams have a rate limit of their own in force.
func (f *Fleet) LimitedUpstreams() int { return f.notices.Limited() }

// SweepNotices forgets what upstreams have said that are long gone.
func (f *Fleet) SweepNotices(now time.Time) {
	listed := make(map[string]bool, len(f.byID))
	for _, u := range f.byID {
		listed[u.said.Start()] = true
	}
	f.notices.Sweep(now, func(start string) bool { return listed[start] })
}
