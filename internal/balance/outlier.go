package balance

import (
	"math"
	"time"
)

const (
	// outlierWeight is the part of each new sample in an upstream's mean;
	// some ten samples count.
	outlierWeight = 0.1
	// typicalWeight is the part of each new sample in a pool's mean.
	typicalWeight = 0.01
	// firstTokenSlack widens the ratio for first tokens, which differ from
	// one prompt to the next as caches hit or miss.
	firstTokenSlack = 2
)

// logMean is a moving mean of logarithms, so that one long prompt does not
// outweigh many short ones.
type logMean struct {
	value float64
	n     int
}

func (m *logMean) add(sample time.Duration, weight float64) {
	x := math.Log(float64(max(sample, 1)))
	m.n++
	m.value += max(weight, 1/float64(m.n)) * (x - m.value)
}

// outlier finds an upstream that is slow but alive.
//
// It guards against an upstream whose disk, network or accelerator fails
// without its process dying: connections and load reports stay good, yet each
// request that it gets is late. It shows as times several times longer than
// those of the pool's other upstreams for the same version. Comparing with
// the pool keeps an overload of all from ejecting anyone, and at most a share
// of a pool is ejected.
type outlier struct {
	// first and gap are relative to the pool's typical times.
	first logMean
	gap   logMean
	// late counts requests at one time without a first piece for too long.
	late int
	// failing is how often requests break there.
	failing failing
	until   time.Duration
	pause   time.Duration
}

func (o *outlier) ejected(now time.Duration) bool { return now < o.until }

// slow says whether the samples show an outlier.
func (o *outlier) slow(s OutlierSettings) bool {
	bound := math.Log(s.Ratio)
	if o.gap.n >= s.MinSamples && o.gap.value > bound {
		return true
	}
	return o.first.n >= s.MinSamples && o.first.value > bound+math.Log(firstTokenSlack)
}

// eject keeps new work away for a pause that doubles each time.
func (o *outlier) eject(s OutlierSettings, now time.Duration) {
	o.pause = min(max(2*o.pause, s.EjectFor), s.MaxEjectFor)
	o.until = now + o.pause
	o.first = logMean{}
	o.gap = logMean{}
	o.failing = failing{}
}

// recovered forgets earlier ejections once an upstream has been good for as
// long as it was last ejected.
func (o *outlier) recovered(now time.Duration) {
	if o.pause > 0 && now > o.until+o.pause {
		o.pause = 0
	}
}

// typical is the usual times of a pool's requests.
type typical struct {
	first logMean
	gap   logMean
}

// judge adds a request's times to the pool's and the upstream's means.
func (t *typical) judge(o *outlier, first, gap time.Duration) {
	if first > 0 {
		t.first.add(first, typicalWeight)
		o.first.addRelative(first, t.first)
	}
	if gap > 0 {
		t.gap.add(gap, typicalWeight)
		o.gap.addRelative(gap, t.gap)
	}
}

func (m *logMean) addRelative(sample time.Duration, to logMean) {
	x := math.Log(float64(max(sample, 1))) - to.value
	m.n++
	m.value += max(outlierWeight, 1/float64(m.n)) * (x - m.value)
}
