package balance

import "time"

const (
	// remotePenalty multiplies the score of upstreams in other failure domains, so that
	// work spills over to them only under load.
	remotePenalty = 1.3
	// fallbackLimit is the assumed batch size of an upstream in a pool without reports.
	fallbackLimit = 8
)

// load returns the relative load of an upstream: this node's requests in flight plus the
// reported load from elsewhere, over its capacity. The weight of a report falls with its
// age, and the pool's mean fills in for the rest.
func (b *Balancer) load(p *pool, h *host, now time.Duration) float64 {
	weight := h.report.weight(now, b.settings.MaxReportAge)
	otherLoad := weight*h.otherLoad(now) + (1-weight)*p.meanOtherLoad
	return (float64(h.inFlight) + otherLoad + 1) / b.hostCapacity(p, h, now)
}

// hostCapacity returns how many requests the host batches, reduced during slow start.
func (b *Balancer) hostCapacity(p *pool, h *host, now time.Duration) float64 {
	limit := h.report.limit
	if limit <= 0 {
		limit = p.meanLimit
	}
	if limit <= 0 {
		limit = fallbackLimit
	}
	return limit * h.slowStartWeight(now, b.settings.SlowStart)
}

// score returns the value by which upstreams are compared; the lowest is best.
func (b *Balancer) score(p *pool, h *host, now time.Duration) float64 {
	s := b.load(p, h, now)
	if !h.local {
		s *= remotePenalty
	}
	return s
}
