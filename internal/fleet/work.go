package fleet

import "time"

// Work is the work of one attempt at its upstream, which is pending until the response
// starts.
type Work struct {
	amount          float64
	responseStarted bool
	key             workloadKey
	sentAt          time.Time
	// uncachedTokens is the number of the prompt's tokens that probably were not cached.
	uncachedTokens float64
	// tokens is the prompt's length, prefix that of its shared prefix; kept is the part of it
	// that was expected to be cached.
	tokens, kept float64
	prefix       int
	// plain is set if the attempt runs no model at a service whose upstreams report loads.
	plain bool
	// silent is set once the attempt has waited far longer than usual.
	silent bool
}

// PrefixTokens returns the length of the prompt's shared prefix, and how much of it was
// expected to be cached.
func (w *Work) PrefixTokens() (asked, kept int) { return w.prefix, int(w.kept) }

// RelativeWork returns an attempt's work and that of an average attempt of its service which is
// queued before it, relative to the latter.
func (f *Fleet) RelativeWork(w *Work) float64 {
	mean := f.meanWorks[w.key.service]
	return (w.amount + mean) / mean
}

// Begin records an attempt that is sent to u. The result is passed to ResponseStarted and
// End.
func (f *Fleet) Begin(u *Upstream, spec *AttemptSpec, now time.Time) *Work {
	kept := f.expectedKept(u, spec, now)
	amount := spec.work(kept)
	f.takeTokens(u, now)
	u.use()
	u.lastSentAt = now
	u.inFlight++
	f.flights.noteLoad(float64(u.inFlight), u.Slots, now)
	if f.byID[u.ID] == u {
		f.inUse[u] = struct{}{}
	}
	u.ownQueued++
	u.pendingWork += amount
	f.recordPrefix(u, spec, now)
	mean := f.meanWorks[spec.Service]
	if mean == 0 {
		mean = amount
	}
	f.meanWorks[spec.Service] = mean + meanWorkGain*(amount-mean)
	return &Work{amount: amount, key: workloadKey{spec.Service, spec.Model}, sentAt: now, uncachedTokens: f.uncachedTokens(u, spec, now),
		tokens: float64(spec.Tokens), prefix: prefixTokens(spec), kept: kept, plain: f.trackPlain(spec)}
}

// ResponseStarted records the start of an attempt's response, which means that its prefill
// is done.
func (f *Fleet) ResponseStarted(u *Upstream, w *Work, now time.Time) {
	if !w.responseStarted {
		f.observeWait(w, now)
		f.observePrefill(w, now)
		f.observeResponse(u, w, now)
	}
	f.leaveQueue(u, w)
}

// leaveQueue removes an attempt from those whose responses have not started.
func (f *Fleet) leaveQueue(u *Upstream, w *Work) {
	if w.responseStarted {
		return
	}
	w.responseStarted = true
	u.ownQueued--
	u.pendingWork = max(u.pendingWork-w.amount, 0)
}

// meanWork returns the mean work of an attempt at the service.
func (f *Fleet) meanWork(spec *AttemptSpec) float64 {
	if mean := f.meanWorks[spec.Service]; mean > 0 {
		return mean
	}
	return max(float64(spec.Tokens)*spec.Weight, 1)
}

// queuedWork estimates the work queued at u: this node's own, and that of other nodes by
// their reports or else by u's.
func (u *Upstream) queuedWork(mean float64, now time.Time) float64 {
	if u.flights.isFresh(now) {
		return u.pendingWork + u.othersPendingNow()
	}
	return u.pendingWork + mean*u.othersQueued*u.loadFreshness(now)
}
