package fleet

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/pacing"
)

// WarmUp is what the upstreams of a service bear right after a start.
type WarmUp struct {
	// Time is how long an upstream warms up.
	Time time.Duration
	// Rate is how many requests a second it bears meanwhile, from all nodes together; 0
	// for no bound.
	Rate float64
	// Most is how many may arrive within any second.
	Most float64
}

// bound is what arrives at most while an upstream warms up.
func (w *WarmUp) bound() pacing.Bound {
	return pacing.Bound{Rate: w.Rate, Most: w.Most, Window: time.Second}
}

// SetWarmUp says what upstreams of a service bear while they warm up.
func (f *Fleet) SetWarmUp(service string, w WarmUp) {
	f.warmUps[service] = w
}

// SetSenders names this node and all among which the rates of upstreams are shared; none
// where they are not known yet.
func (f *Fleet) SetSenders(self string, all []string) { f.senders.Set(self, all) }

// Returning notes that nobody listened at an upstream's address: it may be back under its
// ID, and warm up, before the table says so.
func (f *Fleet) Returning(u *Upstream, now time.Time) {
	if w := f.warmUps[u.Service]; w.Rate > 0 {
		u.extendWarmUp(now.Add(w.Time))
	}
}

// cold tells whether the upstream warms up.
func (u *Upstream) cold(now time.Time) bool { return now.Before(u.coldUntil) }

// extendWarmUp has the upstream warm up until a time at least.
func (u *Upstream) extendWarmUp(t time.Time) {
	if t.After(u.coldUntil) {
		u.coldUntil = t
	}
}

// recordAt is the upstream's record as it is told to another node at a time.
func (u *Upstream) recordAt(now time.Time) Record {
	r := u.Record
	if r.Cold > 0 {
		r.Cold = max(u.coldUntil.Sub(now), time.Millisecond) // its entry still says so
	}
	return r
}
