package admission

import (
	"math"
	"time"
)

const (
	// windowLeast and windowSamples end a window of samples: both are needed.
	windowLeast   = time.Second
	windowSamples = 20
	// decrease is what a window of high latency leaves of the limit.
	decrease = 0.9
	// increase and startIncrease are how the limit grows in a window of good
	// latency, startIncrease until the first decrease.
	increase      = 1.05
	startIncrease = 1.5
	// fullUse of the limit lets it grow; halfUse lets latency shrink it.
	fullUse = 0.8
	halfUse = 0.5
)

// limiter is a concurrency limit that adapts to latency: additive growth
// while the limit is in use and latency is near its moving minimum, and a
// multiplicative decrease when latency is a multiple of it.
//
// It guards against a queue inside the upstreams that nobody bounds: it shows
// as first tokens that come late while the upstreams work at their full rate.
// Latency tells of it whichever node sends the load, so that nodes share the
// upstreams without a message. A latency that rises while the limit is not in
// use has another cause and changes nothing. Where upstreams report their load,
// Queue.Observe sets the limit instead: latency differs from prompt to prompt,
// and tells of a queue only when it is there.
type limiter struct {
	settings LimitSettings
	limit    float64
	settled  bool // the first decrease has been

	began   time.Duration
	sum     float64
	n       int
	peak    int
	dropped bool

	minimum movingMinimum
	probe   probe
	// total is how long requests take as a whole, rest from their first piece.
	total serviceTime
	rest  serviceTime
}

func newLimiter(s LimitSettings) limiter {
	return limiter{settings: s, limit: float64(s.Initial), minimum: movingMinimum{span: s.Window / 2}}
}

// used notes how many requests run.
func (l *limiter) used(running int) { l.peak = max(l.peak, running) }

// observe takes a finished request's sample.
func (l *limiter) observe(s Sample, now time.Duration) {
	if s.Total > 0 {
		l.total.add(s.Total, 1)
		l.rest.add(max(0, s.Total-s.Start), 1)
	}
	if l.probe.active && now < l.probe.counts {
		return // sent before the probe
	}
	if s.Dropped {
		l.dropped = true
	}
	if s.Start > 0 {
		l.sum += s.Start.Seconds()
		l.n++
	}
	if now-l.began < windowLeast || (l.n < windowSamples && !l.dropped) {
		return
	}
	l.endWindow(now)
}

func (l *limiter) endWindow(now time.Duration) {
	mean := 0.0
	if l.n >= windowSamples {
		mean = l.sum / float64(l.n)
		l.minimum.add(mean, now)
	}
	l.judge(mean, now)
	l.began, l.sum, l.n, l.peak, l.dropped = now, 0, 0, 0, false
}

// judge changes the limit by a window's mean latency; 0 is unknown.
func (l *limiter) judge(mean float64, now time.Duration) {
	full := float64(l.peak) >= fullUse*l.limit
	switch {
	case l.probe.active && mean > 0:
		l.probe.end(l, mean, now)
	case l.probe.active:
	case mean > 0 && full && l.probe.due(l, now):
		l.probe.begin(l, mean, now)
	default:
		l.adapt(l.dropped || mean > l.settings.Tolerance*l.minimum.get())
	}
}

func (l *limiter) adapt(high bool) {
	use := float64(l.peak) / l.limit
	switch {
	case high && use >= halfUse:
		l.settled = true
		l.limit *= decrease
	case !high && use >= fullUse && l.settled:
		l.limit = max(l.limit*increase, l.limit+1)
	case !high && use >= fullUse:
		l.limit *= startIncrease
	}
	l.limit = math.Min(math.Max(l.limit, float64(l.settings.Min)), float64(l.settings.Max))
}

// movingMinimum is the least value of the last one to two spans.
type movingMinimum struct {
	span     time.Duration
	began    time.Duration
	now      float64
	previous float64
}

func (m *movingMinimum) add(v float64, at time.Duration) {
	if m.now == 0 || at-m.began >= m.span {
		m.previous = m.now
		m.now = v
		m.began = at
		return
	}
	m.now = math.Min(m.now, v)
}

func (m *movingMinimum) get() float64 {
	if m.previous == 0 {
		return m.now
	}
	return math.Min(m.now, m.previous)
}
