package balance

import "time"

// pool is the upstreams of one version or one service.
type pool struct {
	hosts []*host
	turn  uint64
	// meanOthers and meanLimit are over the hosts' reports.
	meanOthers float64
	meanLimit  float64
	// inFlight are this node's attempts that were picked from the pool;
	// surveyed were so when places was counted.
	inFlight int
	surveyed int
	places   places
	typical  typical
}

// refresh recomputes the means over the pool's reports.
func (p *pool) refresh(now, maxAge time.Duration) {
	var others, limit float64
	var n, limits int
	for _, h := range p.hosts {
		if h.report.weight(now, maxAge) > 0 {
			others += h.others(now)
			n++
		}
		if h.report.limit > 0 {
			limit += h.report.limit
			limits++
		}
	}
	p.meanOthers = ratio(others, n)
	p.meanLimit = ratio(limit, limits)
}

// ejected counts the hosts that are kept from new work as slow.
func (p *pool) ejected(now time.Duration) int {
	n := 0
	for _, h := range p.hosts {
		if h.outlier.ejected(now) {
			n++
		}
	}
	return n
}

func ratio(sum float64, n int) float64 {
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}
