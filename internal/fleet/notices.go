package fleet

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/notice"
)

// ApplyResponse applies what a response announces about its upstream. The response was read
// at the time at. It returns the resulting changes at this node.
func (f *Fleet) ApplyResponse(u *Upstream, response notice.Response, at, now time.Time) []notice.Change {
	if u.announced == nil {
		u.announced = f.notices.StateOf(u.Incarnation())
	}
	changes := f.notices.ApplyResponse(u.announced, response, at, now)
	f.noteLimit(u)
	return changes
}

// ApplyReport applies a peer's report of an upstream's response. It returns the resulting
// changes at this node.
func (f *Fleet) ApplyReport(r notice.Report, now time.Time) []notice.Change {
	changes := f.notices.ApplyReport(r, now)
	if u := f.byIncarnation(r.Start); u != nil {
		u.announced = f.notices.StateOf(r.Start)
		f.noteLimit(u)
	}
	return changes
}

// noteLimit records that an upstream may advertise a rate limit.
func (f *Fleet) noteLimit(u *Upstream) {
	if u.limited() && f.byID[u.ID] == u {
		f.services[u.Service].addRateBound(u)
	}
}

// Notices returns the reports for a peer. newPeer is set if there was no earlier exchange
// with it.
func (f *Fleet) Notices(now time.Time, newPeer bool) []notice.Report {
	return f.notices.Reports(now, newPeer)
}

// LeavingUpstreams returns the number of listed upstreams that announced their shutdown and
// are not yet draining in the table.
func (f *Fleet) LeavingUpstreams() (count int) {
	for _, u := range f.byID {
		if u.announced.Leaving() && !u.Draining {
			count++
		}
	}
	return count
}

// BackedOffUpstreams returns the number of upstreams in back-off for this node.
func (f *Fleet) BackedOffUpstreams(now time.Time) (count int) {
	for _, u := range f.byID {
		if now.Before(u.backoffUntil()) {
			count++
		}
	}
	return count
}

// LimitedUpstreams returns the number of upstreams with an advertised rate limit in force.
func (f *Fleet) LimitedUpstreams() int { return f.notices.Limited() }

// SweepNotices removes the announced state of upstreams that were removed long ago.
func (f *Fleet) SweepNotices(now time.Time) {
	f.notices.Sweep(now, func(incarnation string) bool { return f.byIncarnation(incarnation) != nil })
}
