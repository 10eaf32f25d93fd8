package fleet

import "time"

// workloadKey groups attempts with about the same wait for the same work.
type workloadKey struct{ service, model string }

// waitEstimate is the typical wait of attempts of one group until the response starts: a
// running median of the wait per unit of work.
//
// A mean would be unstable: a node sees few attempts of a group, and a single one that
// stalled for seconds would raise the expected wait of the next ones as much.
type waitEstimate struct {
	perUnit float64 // seconds
	count   int
}

// observe adds the wait of an attempt.
func (d *waitEstimate) observe(waited time.Duration, work float64) {
	sample := waited.Seconds() / work
	d.count++
	switch step := 1 + max(waitStep, 1/float64(d.count)); {
	case d.perUnit == 0:
		d.perUnit = sample
	case sample > d.perUnit:
		d.perUnit = min(d.perUnit*step, sample)
	default:
		d.perUnit = max(d.perUnit/step, sample)
	}
}

// ExpectedWait returns how long an attempt is expected to wait until its response starts,
// by the recent waits of its group; 0 if it is unknown.
func (f *Fleet) ExpectedWait(spec *AttemptSpec, now time.Time) time.Duration {
	d := f.waitEstimates[workloadKey{spec.Service, spec.Model}]
	if d == nil {
		return 0
	}
	work := f.attemptWork(nil, spec, nil, now) + f.meanWork(spec)
	return time.Duration(d.perUnit * work * float64(time.Second))
}

// observeWait records how long an attempt waited until its response started or it was
// moved.
func (f *Fleet) observeWait(w *Work, now time.Time) {
	d := f.waitEstimates[w.key]
	if d == nil {
		d = &waitEstimate{}
		f.waitEstimates[w.key] = d
	}
	d.observe(now.Sub(w.sentAt), w.amount+f.meanWorks[w.key.service])
}

// markStalled records that an attempt at u waited far longer than expected.
//
// Without it, a busy upstream can look idle: an upstream in a long prefill sends no
// responses, so its last load report ages and loses weight. The number of queued attempts
// is set to the number that would explain the wait. Peers receive it like the upstream's
// own report.
func (f *Fleet) markStalled(u *Upstream, w *Work, now time.Time) {
	meanWait := f.waitEstimates[w.key].perUnit * f.meanWorks[w.key.service] // End calls observeWait before, so the estimate exists
	if meanWait <= 0 {
		return
	}
	queued := int(min(now.Sub(w.sentAt).Seconds()/meanWait, float64(2*u.Slots)))
	u.setReportedLoad(u.reportedRunning, max(u.reportedWaiting, queued), now)
}
