package admission

import "time"

const (
	// probeLimit is what is left of the limit during a probe.
	probeLimit = 0.5
	// probeGain of latency in a probe shows that requests were waiting.
	probeGain = 0.75
	// probeDrain is how many usual requests' times pass before a probe counts.
	probeDrain = 1.5
	// probeMost is the longest usual time from the first piece of an answer to
	// its end with which there are probes: a probe takes longer than a
	// request, and work is lost while it lasts.
	probeMost = 2 * time.Second
)

// probe lowers the limit for a moment, once in a while.
//
// It guards against a limit that was too high from the start: the least
// latency that was ever seen is then one with a queue, and nothing seems
// wrong. It shows when fewer requests get much faster answers. The limit then
// stays down, and is probed again at once; otherwise it goes back up.
type probe struct {
	active bool
	// before is the limit to go back to, mean the latency at it.
	before float64
	mean   float64
	// counts is when the samples of the probe begin to count.
	counts time.Duration
	last   time.Duration
}

// due says whether to probe now.
func (p *probe) due(l *limiter, now time.Duration) bool {
	return now >= p.last+l.settings.Window && l.rest.of(1) <= probeMost
}

// begin halves the limit.
func (p *probe) begin(l *limiter, mean float64, now time.Duration) {
	p.active = true
	p.before = l.limit
	p.mean = mean
	p.counts = now + time.Duration(probeDrain*float64(l.total.of(1))) + windowLeast
	l.limit = max(probeLimit*l.limit, float64(l.settings.Min))
}

// end judges the probe by the latency that it had.
func (p *probe) end(l *limiter, mean float64, now time.Duration) {
	if mean < probeGain*p.mean && l.limit > float64(l.settings.Min) {
		l.settled = true
		p.begin(l, mean, now)
		return
	}
	p.active = false
	p.last = now
	l.limit = p.before
}
