package balance

import "time"

// doubtFor is how long a failure domain stays doubtful after its last breaker
// opened.
const doubtFor = 5 * time.Second

// domain is a failure domain's part of the subset. It notices that the whole
// of it seems to be lost.
//
// It guards against finding a lost domain's upstreams one by one: each would
// cost several requests before its breaker opens. It shows as breakers of the
// same domain opening together; then its others are used last, though still
// used when nothing else is left.
type domain struct {
	hosts int
	open  int
	last  time.Duration
	// hit are the upstreams with lately failed requests.
	hit     int
	outlier outlier
}

func (d *domain) opened(now time.Duration) {
	d.open++
	d.last = now
}

func (d *domain) closed() {
	d.open = max(0, d.open-1)
	d.last = 0
}

// doubtful says whether half of the domain's upstreams, and two at least,
// have open breakers.
func (d *domain) doubtful(now time.Duration) bool {
	if d.outlier.ejected(now) {
		return true
	}
	return d.half(d.open) && now < d.last+doubtFor
}

// half says whether so many are half of the domain's upstreams, and two at
// least.
func (d *domain) half(n int) bool { return n >= 2 && 2*n >= d.hosts }

// failing says whether requests fail all over the domain, and far more often
// than in the others. One upstream alone is found by itself.
func (d *domain) failing(usual float64) bool {
	f := &d.outlier.failing
	return d.half(d.hit) && f.evidence >= failingAlarm && f.rate >= failingRatio*usual
}

// domains finds the failure domains by name.
type domains map[string]*domain

// restart keeps what is known of the domains, without their upstreams, and
// forgets those that had none.
func (ds domains) restart() {
	for name, d := range ds {
		if d.hosts == 0 {
			delete(ds, name)
		}
		d.hosts, d.open = 0, 0
	}
}

// ejectFailing keeps new work away from a domain in which upstreams fail a part
// of their requests.
//
// It guards against a fault that many upstreams of a domain have in common,
// such as a bad switch: a node sends each of them too little to find them one
// by one, and what fails early draws more work. It shows as failures at half
// of the domain's upstreams.
func (ds domains) ejectFailing(hosts []*host, s OutlierSettings, now time.Duration) {
	for _, d := range ds {
		d.hit = 0
	}
	for _, h := range hosts {
		if h.breaker.open() || h.outlier.failing.evidence >= failureEvidence/2 {
			h.domain.hit++
		}
	}
	usual := ds.medianFailures()
	for _, d := range ds {
		if d.outlier.ejected(now) {
			continue
		}
		d.outlier.recovered(now)
		if d.failing(usual) {
			d.outlier.eject(s, now)
		}
	}
}

func (ds domains) medianFailures() float64 {
	rates := make([]float64, 0, len(ds))
	for _, d := range ds {
		if d.hosts > 0 {
			rates = append(rates, d.outlier.failing.rate)
		}
	}
	return median(rates)
}

// join counts the host in its domain.
func (ds domains) join(h *host) {
	d := ds[h.vm.FailureDomain]
	if d == nil {
		d = &domain{}
		ds[h.vm.FailureDomain] = d
	}
	d.hosts++
	if h.breaker.open() {
		d.open++
	}
	h.domain = d
}
