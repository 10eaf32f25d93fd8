package fleet

import "time"

// delayKey names attempts that wait about as long for the same work.
type delayKey struct{ service, model string }

// delay is the usual wait of attempts of one kind until their answers begin: the
// running median of the wait for one unit of work.
//
// A mean would not do: a node sees few attempts of a kind, and one that was
// stuck for seconds would make it wait as long for the next ones.
type delay struct {
	perWork float64 // seconds
	count   int
}

// add takes an attempt that has waited for a time.
func (d *delay) add(waited time.Duration, work float64) {
	one := waited.Seconds() / work
	d.count++
	switch step := 1 + max(delayStep, 1/float64(d.count)); {
	case d.perWork == 0:
		d.perWork = one
	case one > d.perWork:
		d.perWork = min(d.perWork*step, one)
	default:
		d.perWork = max(d.perWork/step, one)
	}
}

// Delay is how long an attempt usually waits until its answer begins, by what
// others of its kind have lately waited for their work; 0 where that is not
// known.
func (f *Fleet) Delay(w *AttemptSpec, now time.Time) time.Duration {
	d := f.delays[delayKey{w.Service, w.Model}]
	if d == nil {
		return 0
	}
	work := f.work(nil, w, nil, now) + f.meanWork(w)
	return time.Duration(d.perWork * work * float64(time.Second))
}

// waited notes how long an attempt has waited, until its answer began or it
// was moved.
func (f *Fleet) waited(w *Work, now time.Time) {
	d := f.delays[w.key]
	if d == nil {
		d = &delay{}
		f.delays[w.key] = d
	}
	d.add(now.Sub(w.sentAt), w.amount+f.means[w.key.service])
}

// blocked notes that an attempt has waited at u far longer than usual.
//
// It guards against upstreams that look idle because they are busy: one that
// reads a long prompt answers nobody, so nobody hears of its load, and the last
// word on it grows old and counts for less. As many attempts are taken to wait
// there as usually take that long; peers hear of it like of the upstream's own
// word.
func (f *Fleet) blocked(u *Upstream, w *Work, now time.Time) {
	perMean := f.delays[w.key].perWork * f.means[w.key.service] // the wait was noted before
	if perMean <= 0 {
		return
	}
	waiting := int(min(now.Sub(w.sentAt).Seconds()/perMean, float64(2*u.Slots)))
	u.heard(u.running, max(u.waiting, waiting), now)
}
