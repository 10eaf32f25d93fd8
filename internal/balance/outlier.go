package balance

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of a new sample in an upstream's mean; about ten samples
	// count.
	sampleWeight = 0.1
	// poolSampleWeight is the weight of a new sample in a pool's mean.
	poolSampleWeight = 0.01
	// firstTokenFactor widens the ratio for first tokens, which vary between prompts with
	// cache hits and misses.
	firstTokenFactor = 2
)

// logMean is a moving mean of logarithms, so that one long prompt does not outweigh many
// short ones.
type logMean struct {
	value float64
	n     int
}

func (m *logMean) add(sample time.Duration, weight float64) {
	x := math.Log(float64(max(sample, 1)))
	m.n++
	m.value += max(weight, 1/float64(m.n)) * (x - m.value)
}

// outlier detects an upstream that is slow but alive.
//
// Its disk, network or accelerator fails while its process keeps running: connections and
// load reports stay good, but every request is late. Its times are several times longer
// than those of the pool's other upstreams for the same version. The comparison with the
// pool prevents ejections when all are overloaded, and at most a share of a pool is
// ejected.
type outlier struct {
	// firstToken and tokenGap are relative to the pool's typical times.
	firstToken logMean
	tokenGap   logMean
	// lateRequests counts the requests in flight whose first piece is overdue.
	lateRequests int
	// failures tracks how often requests fail there.
	failures     failureDetector
	ejectedUntil time.Duration
	ejectedFor   time.Duration
}

func (o *outlier) ejected(now time.Duration) bool { return now < o.ejectedUntil }

// slow reports whether the samples show an outlier.
func (o *outlier) slow(s OutlierSettings) bool {
	bound := math.Log(s.Ratio)
	if o.tokenGap.n >= s.MinSamples && o.tokenGap.value > bound {
		return true
	}
	return o.firstToken.n >= s.MinSamples && o.firstToken.value > bound+math.Log(firstTokenFactor)
}

// eject withholds new work for a pause that doubles with each ejection, and drops the
// samples that led to it.
func (o *outlier) eject(s OutlierSettings, now time.Duration) {
	o.ejectedFor = min(max(2*o.ejectedFor, s.EjectFor), s.MaxEjectFor)
	o.ejectedUntil = now + o.ejectedFor
	o.firstToken = logMean{}
	o.tokenGap = logMean{}
	o.failures = failureDetector{}
}

// resetIfRecovered resets the pause once the upstream has been good for as long as it was
// last ejected.
func (o *outlier) resetIfRecovered(now time.Duration) {
	if o.ejectedFor > 0 && now > o.ejectedUntil+o.ejectedFor {
		o.ejectedFor = 0
	}
}

// typicalTimes holds the mean times of a pool's requests.
type typicalTimes struct {
	firstToken logMean
	tokenGap   logMean
}

// record adds a request's times to the means of the pool and of the upstream. Times of 0
// are ignored.
func (t *typicalTimes) record(o *outlier, firstToken, tokenGap time.Duration) {
	if firstToken > 0 {
		t.firstToken.add(firstToken, poolSampleWeight)
		o.firstToken.addRelative(firstToken, t.firstToken)
	}
	if tokenGap > 0 {
		t.tokenGap.add(tokenGap, poolSampleWeight)
		o.tokenGap.addRelative(tokenGap, t.tokenGap)
	}
}

// addRelative adds a sample as a ratio to the reference mean.
func (m *logMean) addRelative(sample time.Duration, reference logMean) {
	x := math.Log(float64(max(sample, 1))) - reference.value
	m.n++
	m.value += max(sampleWeight, 1/float64(m.n)) * (x - m.value)
}
