package fleet

import (
	"math"
	"time"

	"github.com/hickorybank/hickorybank/internal/hedge"
)

// plainSlowness is the least slowness that counts at a plain service. Its queues change faster
// than nodes learn of them: by a smaller difference, all would choose the same upstream.
const plainSlowness = 1.1

// trackPlain begins to observe the response times of a service whose upstreams report their
// loads and that runs no models.
func (f *Fleet) trackPlain(spec *AttemptSpec) bool {
	if !spec.Plain || !f.loadReported[spec.Service] {
		return false
	}
	if f.plain[spec.Service] == nil {
		f.plain[spec.Service] = &hedge.Quantile{}
		f.usual.track(spec.Service)
	}
	return true
}

// IsPlain reports whether the service runs no models and its upstreams report their loads.
func (f *Fleet) IsPlain(service string) bool { return f.plain[service] != nil }

// SilentAfter returns how long an attempt at a plain service waits for its answer before it
// counts as silent; left is the caller's time left. ok is false if that is unknown.
func (f *Fleet) SilentAfter(service string, left time.Duration) (after time.Duration, ok bool) {
	return f.plain[service].SilentAfter(left)
}

// observeResponse records the response time of an attempt at a plain service.
func (f *Fleet) observeResponse(u *Upstream, w *Work, now time.Time) {
	if !w.plain {
		return
	}
	took := now.Sub(w.sentAt)
	f.plain[w.key.service].Observe(took)
	f.ObservePause(u, w, took, now)
	u.silence.signs = 0
}

// observeLost records that an attempt's answer was an error, was lost or did not come. It counts
// as the slowest answer: it costs the caller as much, and no response time tells of it.
func (f *Fleet) observeLost(u *Upstream, w *Work, now time.Time) {
	if w.plain {
		f.observeSpeed(u, math.Log(maxSlowness), now)
	}
}
