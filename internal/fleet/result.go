package fleet

import "time"

// Result is the outcome of an attempt at its upstream.
type Result int

const (
	// Served means that the upstream responded.
	Served Result = iota
	// Failed means that the response was an error or was cut short.
	Failed
	// Unreached means that nothing was sent, or that the connection broke before the
	// response started.
	Unreached
	// Full means that the upstream rejected the attempt without running it.
	Full
	// Moved means that the attempt waited far longer than expected and was moved to another
	// upstream.
	Moved
	// Abandoned means that this node or its caller cancelled the attempt. It says nothing
	// about the upstream.
	Abandoned
)

// End records the end of an attempt at u.
func (f *Fleet) End(u *Upstream, w *Work, result Result, now time.Time) {
	f.leaveQueue(u, w)
	f.observeResidence(w, now)
	if u.inFlight--; u.inFlight == 0 {
		delete(f.inUse, u)
	}
	switch result {
	case Served:
		u.decayErrors(now)
		u.recentAttempts++
		u.consecutiveUnreached = 0
	case Failed:
		u.decayErrors(now)
		u.recentAttempts++
		u.recentFailures++
		f.observeLost(u, w, now)
	case Full:
		u.use().rejectedAt = now
	case Moved:
		f.observeWait(w, now)
		if w.plain {
			f.plain[w.key.service].Observe(now.Sub(w.sentAt))
			f.observeLost(u, w, now)
		}
		f.markStalled(u, w, now)
	case Unreached:
		u.decayErrors(now)
		u.recentAttempts++
		u.recentFailures++
		u.consecutiveUnreached++
		f.observeLost(u, w, now)
		u.ejectedUntil = now.Add(min(ejectBase<<min(u.consecutiveUnreached-1, 8), maxEjection))
	}
}
