package balance

import "time"

// pool holds the upstreams of one version or one service.
type pool struct {
	hosts           []*host
	roundRobinCount uint64
	// meanOtherLoad and meanLimit are means over the hosts' reports.
	meanOtherLoad float64
	meanLimit     float64
	// inFlight counts this node's attempts that were picked from the pool;
	// inFlightAtMeasure is that count when capacity was measured.
	inFlight          int
	inFlightAtMeasure int
	capacity          poolCapacity
	typical           typicalTimes
}

// refreshMeans recomputes the means over the hosts' reports.
func (p *pool) refreshMeans(now, maxAge time.Duration) {
	var otherLoad, limit float64
	var n, limits int
	for _, h := range p.hosts {
		if h.report.weight(now, maxAge) > 0 {
			otherLoad += h.otherLoad(now)
			n++
		}
		if h.report.limit > 0 {
			limit += h.report.limit
			limits++
		}
	}
	p.meanOtherLoad = ratio(otherLoad, n)
	p.meanLimit = ratio(limit, limits)
}

// ejectedCount counts the hosts that are ejected as outliers.
func (p *pool) ejectedCount(now time.Duration) int {
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
