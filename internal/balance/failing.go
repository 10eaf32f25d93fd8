package balance

import (
	"math"
	"slices"
)

const (
	// healthyFailureRate and faultyFailureRate are the expected shares of failed requests
	// at a healthy and at a faulty upstream.
	healthyFailureRate = 0.02
	faultyFailureRate  = 0.2
	// evidenceThreshold, in nats, is the evidence from which an upstream counts as
	// failing. Four failures close together reach it, or about twenty requests of which a
	// fifth fail.
	evidenceThreshold = 6
	// failureRateRatio is how many times the median upstream's failure rate a failing
	// upstream must have.
	failureRateRatio = 3
	// failureRateWeight is the weight of a new request in the moving failure rate; about
	// twenty requests count.
	failureRateWeight = 0.05
)

var (
	failureEvidence = math.Log(faultyFailureRate / healthyFailureRate)
	successEvidence = math.Log((1 - faultyFailureRate) / (1 - healthyFailureRate))
)

// failureDetector detects an upstream that fails some of its requests.
//
// Such an upstream has good health checks and load reports and answers well in between,
// so its breaker never sees enough consecutive failures. Failed requests end early, so it
// seems idle and attracts more work than the others. The evidence is a cumulative sum of
// log likelihood ratios with a floor of 0. It therefore forgets the distant past, and ten
// answers clear one rare failure. The comparison with the pool's median prevents
// ejections when all upstreams fail alike.
type failureDetector struct {
	evidence float64
	// rate is the moving share of failed requests, of which there were requests so far.
	rate     float64
	requests int
}

// recordOutcome counts a request at the host, and in its failure domain, as failed or
// not.
func (h *host) recordOutcome(failed bool) {
	h.outlier.failures.add(failed)
	if h.domain != nil {
		h.domain.outlier.failures.add(failed)
	}
}

func (f *failureDetector) add(failed bool) {
	f.requests++
	weight := max(failureRateWeight, 1/float64(f.requests))
	if failed {
		f.evidence += failureEvidence
		f.rate += weight * (1 - f.rate)
		return
	}
	f.evidence = max(0, f.evidence+successEvidence)
	f.rate -= weight * f.rate
}

// failing reports whether requests fail at the host far more often than at the pool's
// median upstream.
func (p *pool) failing(h *host) bool {
	f := &h.outlier.failures
	return f.evidence >= evidenceThreshold && f.rate >= failureRateRatio*p.medianFailureRate()
}

// medianFailureRate returns the failure rate of the pool's median upstream.
func (p *pool) medianFailureRate() float64 {
	rates := make([]float64, 0, len(p.hosts))
	for _, h := range p.hosts {
		rates = append(rates, h.outlier.failures.rate)
	}
	return median(rates)
}

// median returns the median of the values, the lower one of two, or 0 for none. It sorts
// them.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
