package balance

import "time"

const (
	// remotePenalty is how much fuller an upstream of another failure domain
	// counts, so that work spills there only under load.
	remotePenalty = 1.3
	// fallbackLimit stands for the batch of a pool that has not reported.
	fallbackLimit = 8
)

// load is how full an upstream is, from what this node has in flight there
// and what others have by its reports; with their age they count for less and
// the pool's mean for more.
func (b *Balancer) load(p *pool, h *host, now time.Duration) float64 {
	w := h.report.weight(now, b.settings.MaxReportAge)
	others := w*h.others(now) + (1-w)*p.meanOthers
	return (float64(h.inFlight) + others + 1) / b.capacity(p, h, now)
}

func (b *Balancer) capacity(p *pool, h *host, now time.Duration) float64 {
	limit := h.report.limit
	if limit <= 0 {
		limit = p.meanLimit
	}
	if limit <= 0 {
		limit = fallbackLimit
	}
	return limit * h.startWeight(now, b.settings.SlowStart)
}

// score orders upstreams; the lowest is best.
func (b *Balancer) score(p *pool, h *host, now time.Duration) float64 {
	s := b.load(p, h, now)
	if !h.local {
		s *= remotePenalty
	}
	return s
}
