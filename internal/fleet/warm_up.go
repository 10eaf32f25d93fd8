package fleet

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/pacing"
)

// WarmUp bounds the requests to an upstream of a service right after its start.
type WarmUp struct {
	// Duration is how long the warm-up lasts.
	Duration time.Duration
	// Rate is the sustained rate in requests per second from all nodes together; 0 for no
	// bound.
	Rate float64
	// MaxPerSecond is the maximum number of requests that arrive within any second.
	MaxPerSecond float64
}

// bound returns the bound that applies while an upstream warms up.
func (w *WarmUp) bound() pacing.Bound {
	return pacing.Bound{Rate: w.Rate, MaxArrivals: w.MaxPerSecond, Window: time.Second}
}

// SetWarmUp sets the warm-up of a service's upstreams.
func (f *Fleet) SetWarmUp(service string, w WarmUp) {
	f.warmUps[service] = w
}

// SetSenders sets the ID of this node and the IDs of all nodes that share the upstreams'
// rates; none if they are not known yet.
func (f *Fleet) SetSenders(self string, nodes []string) { f.senders.Set(self, nodes) }

// ConnectionRefused records that a connection to the upstream's address was refused. The
// upstream may restart under its ID, and warm up, before the table shows it.
func (f *Fleet) ConnectionRefused(u *Upstream, now time.Time) {
	if w := f.warmUps[u.Service]; w.Rate > 0 {
		f.extendWarmUp(u, now.Add(w.Duration))
	}
}

// warmingUp reports whether the upstream warms up.
func (u *Upstream) warmingUp(now time.Time) bool { return now.Before(u.warmUpUntil) }

// extendWarmUp extends the warm-up of u to end at t or later.
func (f *Fleet) extendWarmUp(u *Upstream, t time.Time) {
	if !t.After(u.warmUpUntil) {
		return
	}
	u.warmUpUntil = t
	if f.byID[u.ID] == u {
		f.services[u.Service].addRateBound(u)
	}
}

// recordAt returns the upstream's record for another node, with the remaining warm-up time.
func (u *Upstream) recordAt(now time.Time) Record {
	r := u.Record
	if r.Cold > 0 {
		r.Cold = max(u.warmUpUntil.Sub(now), time.Millisecond) // the table's entry still marks the warm-up
	}
	return r
}
