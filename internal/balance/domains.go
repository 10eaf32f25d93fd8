package balance

import "time"

// domainDegradedFor is how long a failure domain stays degraded after the last of its
// breakers opened.
const domainDegradedFor = 5 * time.Second

// domain is the part of the subset in one failure domain. It detects the loss of the
// whole domain.
//
// Without it, the upstreams of a lost domain would be found one by one, each at the cost
// of several requests before its breaker opens. When breakers of the same domain open
// together, the domain's other upstreams are used last, but still used when no others are
// left.
type domain struct {
	hostCount    int
	openBreakers int
	lastOpened   time.Duration
	// failingHosts counts the upstreams with recently failed requests.
	failingHosts int
	outlier      outlier
}

func (d *domain) breakerOpened(now time.Duration) {
	d.openBreakers++
	d.lastOpened = now
}

func (d *domain) breakerClosed() {
	d.openBreakers = max(0, d.openBreakers-1)
	d.lastOpened = 0
}

// degraded reports whether the domain is ejected or has lately lost half of its
// upstreams, and at least two, to open breakers.
func (d *domain) degraded(now time.Duration) bool {
	if d.outlier.ejected(now) {
		return true
	}
	return d.isHalf(d.openBreakers) && now < d.lastOpened+domainDegradedFor
}

// isHalf reports whether n is at least half of the domain's upstreams, and at least two.
func (d *domain) isHalf(n int) bool { return n >= 2 && 2*n >= d.hostCount }

// failing reports whether requests fail across the domain, and far more often than in
// other domains. A single failing upstream is detected by itself.
func (d *domain) failing(medianRate float64) bool {
	f := &d.outlier.failures
	return d.isHalf(d.failingHosts) && f.evidence >= evidenceThreshold && f.rate >= failureRateRatio*medianRate
}

// domains holds the failure domains by name.
type domains map[string]*domain

// reset removes the upstreams from the domains and keeps their statistics. Domains that
// had no upstreams are deleted.
func (ds domains) reset() {
	for name, d := range ds {
		if d.hostCount == 0 {
			delete(ds, name)
		}
		d.hostCount, d.openBreakers = 0, 0
	}
}

// ejectFailing ejects the domains whose upstreams fail some of their requests.
//
// It covers a fault that many upstreams of a domain have in common, such as a bad switch.
// A node sends each upstream too few requests to detect it alone, and requests that fail
// early attract more work. Such a domain shows failures at half of its upstreams.
func (ds domains) ejectFailing(hosts []*host, s OutlierSettings, now time.Duration) {
	for _, d := range ds {
		d.failingHosts = 0
	}
	for _, h := range hosts {
		if h.breaker.open() || h.outlier.failures.evidence >= failureEvidence/2 {
			h.domain.failingHosts++
		}
	}
	medianRate := ds.medianFailureRate()
	for _, d := range ds {
		if d.outlier.ejected(now) {
			continue
		}
		d.outlier.resetIfRecovered(now)
		if d.failing(medianRate) {
			d.outlier.eject(s, now)
		}
	}
}

// medianFailureRate returns the failure rate of the median domain.
func (ds domains) medianFailureRate() float64 {
	rates := make([]float64, 0, len(ds))
	for _, d := range ds {
		if d.hostCount > 0 {
			rates = append(rates, d.outlier.failures.rate)
		}
	}
	return median(rates)
}

// add counts the host in its domain.
func (ds domains) add(h *host) {
	d := ds[h.vm.FailureDomain]
	if d == nil {
		d = &domain{}
		ds[h.vm.FailureDomain] = d
	}
	d.hostCount++
	if h.breaker.open() {
		d.openBreakers++
	}
	h.domain = d
}
