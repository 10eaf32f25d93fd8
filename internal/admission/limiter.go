package admission

import (
	"math"
	"time"
)

const (
	// minWindow and minWindowSamples both must be reached before a sample window ends.
	minWindow        = time.Second
	minWindowSamples = 20
	// decreaseFactor multiplies the limit after a window of high latency.
	decreaseFactor = 0.9
	// increaseFactor multiplies the limit after a window of good latency, which adds at
	// least 1. Until the first decrease initialIncreaseFactor applies instead.
	increaseFactor        = 1.05
	initialIncreaseFactor = 1.5
	// growUtilisation is the least utilisation of the limit at which it grows,
	// shrinkUtilisation that at which high latency reduces it.
	growUtilisation   = 0.8
	shrinkUtilisation = 0.5
)

// limiter is a concurrency limit that adapts to latency. It grows while it is in use and
// latency is near its moving minimum. It shrinks by a factor when latency is a multiple
// of that minimum.
//
// It prevents an unbounded queue inside the upstreams, where first tokens come late while
// the upstreams work at their full rate. Latency shows this whichever node sends the
// load, so nodes share the upstreams without messages. Latency that rises while the limit
// is not in use has another cause and is ignored. Where upstreams report their load,
// [Queue.Observe] sets the limit instead: latency varies between prompts, and it shows a
// queue only once the queue exists.
type limiter struct {
	settings     LimitSettings
	limit        float64
	hasDecreased bool // the limit has been reduced at least once

	windowStart time.Duration
	latencySum  float64
	samples     int
	peakRunning int
	dropped     bool

	minimum movingMinimum
	probe   probe
	// total is the time of whole requests, afterFirst the time from their first piece on.
	total      serviceTime
	afterFirst serviceTime
}

func newLimiter(s LimitSettings) limiter {
	return limiter{settings: s, limit: float64(s.Initial), minimum: movingMinimum{span: s.Window / 2}}
}

// recordRunning records how many requests run.
func (l *limiter) recordRunning(running int) { l.peakRunning = max(l.peakRunning, running) }

// observe records a finished request's sample.
func (l *limiter) observe(s Sample, now time.Duration) {
	if s.Total > 0 {
		l.total.add(s.Total, 1)
		l.afterFirst.add(max(0, s.Total-s.FirstToken), 1)
	}
	if l.probe.active && now < l.probe.samplesFrom {
		return // the request started before the probe
	}
	if s.Overloaded {
		l.dropped = true
	}
	if s.FirstToken > 0 {
		l.latencySum += s.FirstToken.Seconds()
		l.samples++
	}
	if now-l.windowStart < minWindow || (l.samples < minWindowSamples && !l.dropped) {
		return
	}
	l.endWindow(now)
}

func (l *limiter) endWindow(now time.Duration) {
	mean := 0.0
	if l.samples >= minWindowSamples {
		mean = l.latencySum / float64(l.samples)
		l.minimum.add(mean, now)
	}
	l.adjust(mean, now)
	l.windowStart, l.latencySum, l.samples, l.peakRunning, l.dropped = now, 0, 0, 0, false
}

// adjust changes the limit by a window's mean latency in seconds; 0 means unknown.
func (l *limiter) adjust(mean float64, now time.Duration) {
	inUse := float64(l.peakRunning) >= growUtilisation*l.limit
	switch {
	case l.probe.active && mean > 0:
		l.probe.end(l, mean, now)
	case l.probe.active:
	case mean > 0 && inUse && l.probe.due(l, now):
		l.probe.begin(l, mean, now)
	default:
		l.adapt(l.dropped || mean > l.settings.Tolerance*l.minimum.value())
	}
}

func (l *limiter) adapt(overloaded bool) {
	utilisation := float64(l.peakRunning) / l.limit
	switch {
	case overloaded && utilisation >= shrinkUtilisation:
		l.hasDecreased = true
		l.limit *= decreaseFactor
	case !overloaded && utilisation >= growUtilisation && l.hasDecreased:
		l.limit = max(l.limit*increaseFactor, l.limit+1)
	case !overloaded && utilisation >= growUtilisation:
		l.limit *= initialIncreaseFactor
	}
	l.limit = math.Min(math.Max(l.limit, float64(l.settings.Min)), float64(l.settings.Max))
}

// movingMinimum is the minimum over the current and the previous span.
type movingMinimum struct {
	span      time.Duration
	spanStart time.Duration
	current   float64
	previous  float64
}

func (m *movingMinimum) add(v float64, at time.Duration) {
	if m.current == 0 || at-m.spanStart >= m.span {
		m.previous = m.current
		m.current = v
		m.spanStart = at
		return
	}
	m.current = math.Min(m.current, v)
}

func (m *movingMinimum) value() float64 {
	if m.previous == 0 {
		return m.current
	}
	return math.Min(m.current, m.previous)
}
