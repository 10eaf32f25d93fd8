package balance

import (
	"math"
	"slices"
)

const (
	// usualFailures and badFailures are the shares of requests that break at
	// an upstream that is well and at one that is not.
	usualFailures = 0.02
	badFailures   = 0.2
	// failingAlarm is the evidence, in nats, from which an upstream counts as
	// failing: four failures close together, or some twenty requests of which
	// a fifth fails.
	failingAlarm = 6
	// failingRatio is how many times as often as at the pool's median
	// upstream requests must fail.
	failingRatio = 3
	// rateWeight is the part of each new request in an upstream's share of
	// failures; some twenty count.
	rateWeight = 0.05
)

var (
	failureEvidence = math.Log(badFailures / usualFailures)
	successEvidence = math.Log((1 - badFailures) / (1 - usualFailures))
)

// failing finds an upstream that fails a part of its requests.
//
// It guards against an upstream whose health and load reports are good and
// that answers well in between: a breaker never sees enough failures in a row,
// and since what fails ends early, the upstream seems idle and draws more work
// than the others. It shows as a share of failures above that of the pool. The
// evidence is a sum of log likelihood ratios that never falls below 0, so it
// forgets what is long past, and a rare failure is cleared by ten answers.
// Comparing with the pool's median keeps a fault of all from ejecting anyone.
type failing struct {
	evidence float64
	// rate is the moving share of failures, over n requests.
	rate float64
	n    int
}

// ended takes in how a request at the host ended.
func (h *host) ended(failed bool) {
	h.outlier.failing.add(failed)
	if h.domain != nil {
		h.domain.outlier.failing.add(failed)
	}
}

func (f *failing) add(failed bool) {
	f.n++
	weight := max(rateWeight, 1/float64(f.n))
	if failed {
		f.evidence += failureEvidence
		f.rate += weight * (1 - f.rate)
		return
	}
	f.evidence = max(0, f.evidence+successEvidence)
	f.rate -= weight * f.rate
}

// failing says whether requests fail at the host far more often than at the
// pool's other upstreams.
func (p *pool) failing(h *host) bool {
	f := &h.outlier.failing
	return f.evidence >= failingAlarm && f.rate >= failingRatio*p.medianFailures()
}

// medianFailures is the share of failures at the pool's median upstream.
func (p *pool) medianFailures() float64 {
	rates := make([]float64, 0, len(p.hosts))
	for _, h := range p.hosts {
		rates = append(rates, h.outlier.failing.rate)
	}
	return median(rates)
}

// median returns the lower one of two; it sorts the list.
func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}
