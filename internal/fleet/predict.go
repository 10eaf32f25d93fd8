package fleet

import "time"

// pace is how long work takes at a service's upstreams, learned from attempts
// whose answers began.
type pace struct {
	perWork float64 // seconds for a unit of work that waits or is done
	count   int
}

const (
	// paceGain is the weight of a new attempt in the pace.
	paceGain = 0.02
	// paceLeast is how many attempts a pace needs before it predicts.
	paceLeast = 20
)

// learn takes how long an attempt waited for its answer to begin, given the
// work that it was expected to wait for. Attempts with little work tell of
// the upstream's steps and the network instead, and are left out.
func (f *Fleet) learn(service string, expected, mean float64, waited time.Duration) {
	if expected < mean {
		return
	}
	p := f.paces[service]
	p.count++
	gain := max(paceGain, 1/float64(p.count))
	p.perWork += gain * (waited.Seconds()/expected - p.perWork)
	f.paces[service] = p
}

// Predict returns how long an attempt would wait for its answer to begin at
// the upstream that would be chosen; ok is false where too little is known.
func (f *Fleet) Predict(w Want, now time.Time) (wait time.Duration, ok bool) {
	p := f.paces[w.Service]
	u := f.Choose(w, now)
	if p.count < paceLeast || u == nil {
		return 0, false
	}
	work := f.expected(u, &w, now)
	return time.Duration(work * p.perWork * float64(time.Second)), true
}

// expected is the work that the attempt waits for at u, its own included.
func (f *Fleet) expected(u *Upstream, w *Want, now time.Time) float64 {
	return u.waitingWork(f.meanWork(w), now) + f.work(u, w, nil, now)
}
