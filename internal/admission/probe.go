package admission

import "time"

const (
	// probeLimitFactor multiplies the limit during a probe.
	probeLimitFactor = 0.5
	// probeLatencyFactor is the fraction of the earlier latency below which a probe shows
	// that requests were queued.
	probeLatencyFactor = 0.75
	// probeDrainFactor is the delay, as a multiple of the mean request time, before the
	// samples of a probe count.
	probeDrainFactor = 1.5
	// maxProbedDuration is the longest mean time from the first piece of an answer to its
	// end at which probes take place. A probe takes longer than a request, and throughput
	// is lost during it.
	maxProbedDuration = 2 * time.Second
)

// probe lowers the limit for a short time, at intervals.
//
// It corrects a limit that was too high from the start. The lowest latency ever seen then
// includes a queue, and no increase shows. If fewer concurrent requests get much faster
// answers, the limit stays down and is probed again at once. Otherwise it is restored.
type probe struct {
	active bool
	// limitBefore is the limit to restore, meanBefore the mean latency at it in seconds.
	limitBefore float64
	meanBefore  float64
	// samplesFrom is when the samples of the probe begin to count.
	samplesFrom time.Duration
	endedAt     time.Duration
}

// due reports whether to probe now.
func (p *probe) due(l *limiter, now time.Duration) bool {
	return now >= p.endedAt+l.settings.Window && l.afterFirst.estimate(1) <= maxProbedDuration
}

// begin halves the limit.
func (p *probe) begin(l *limiter, mean float64, now time.Duration) {
	p.active = true
	p.limitBefore = l.limit
	p.meanBefore = mean
	p.samplesFrom = now + time.Duration(probeDrainFactor*float64(l.total.estimate(1))) + minWindow
	l.limit = max(probeLimitFactor*l.limit, float64(l.settings.Min))
}

// end evaluates the probe by its mean latency.
func (p *probe) end(l *limiter, mean float64, now time.Duration) {
	if mean < probeLatencyFactor*p.meanBefore && l.limit > float64(l.settings.Min) {
		l.hasDecreased = true
		p.begin(l, mean, now)
		return
	}
	p.active = false
	p.endedAt = now
	l.limit = p.limitBefore
}
