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
	if d.open < 2 || 2*d.open < d.hosts {
		return false
	}
	return now < d.last+doubtFor
}

// domains finds the failure domains by name.
type domains map[string]*domain

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
