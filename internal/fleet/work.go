package fleet

import "time"

// Work is what one attempt costs its upstream, until its answer begins.
type Work struct {
	amount float64
	begun  bool
	key    delayKey
	sentAt time.Time
	// tokens are those of the prompt that were not known to be cached.
	tokens float64
}

// Begin counts an attempt that is sent to u.
func (f *Fleet) Begin(u *Upstream, w *AttemptSpec, now time.Time) *Work {
	amount := f.work(u, w, nil, now)
	f.spend(u, now)
	u.sentAt = now
	u.inFlight++
	u.waitingOwn++
	u.pending += amount
	u.remember(w, now)
	m := f.means[w.Service]
	if m == 0 {
		m = amount
	}
	f.means[w.Service] = m + meanGain*(amount-m)
	return &Work{amount: amount, key: delayKey{w.Service, w.Model}, sentAt: now, tokens: f.unread(u, w, now)}
}

// Started counts the begin of an attempt's answer: its prompt has been read.
func (f *Fleet) Started(u *Upstream, w *Work, now time.Time) {
	if !w.begun {
		f.waited(w, now)
		f.read(w, now)
	}
	f.unqueue(u, w)
}

// unqueue takes an attempt from those whose answers have not begun.
func (f *Fleet) unqueue(u *Upstream, w *Work) {
	if w.begun {
		return
	}
	w.begun = true
	u.waitingOwn--
	u.pending = max(u.pending-w.amount, 0)
}

// meanWork is the usual work of an attempt at the service.
func (f *Fleet) meanWork(w *AttemptSpec) float64 {
	if m := f.means[w.Service]; m > 0 {
		return m
	}
	return max(float64(w.Tokens)*w.Weight, 1)
}

// waitingWork is the estimated work that waits at u: this node's own, and that
// of others by u's last word.
func (u *Upstream) waitingWork(mean float64, now time.Time) float64 {
	if u.told(now) {
		return u.pending + u.othersPending
	}
	return u.pending + mean*u.othersWaiting*u.freshness(now)
}

// cached is how many of the prompt's leading tokens this node has lately sent
// to u for the same model.
func (u *Upstream) cached(w *AttemptSpec, now time.Time) int {
	n := 0
	for _, p := range w.Parts {
		at, ok := u.parts[partKey{w.Model, p.ID}]
		if !ok || now.Sub(at) > partMemory {
			break
		}
		n += p.Tokens
	}
	return n
}

// partKey names a part as one model caches it.
type partKey struct{ model, part string }

// remember notes that u reads the prompt's parts.
func (u *Upstream) remember(w *AttemptSpec, now time.Time) {
	if len(w.Parts) == 0 {
		return
	}
	if u.parts == nil || len(u.parts) > mostParts {
		u.parts = map[partKey]time.Time{}
	}
	for _, p := range w.Parts {
		u.parts[partKey{w.Model, p.ID}] = now
	}
}
