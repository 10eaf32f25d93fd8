package balance

import "time"

// poolCapacity sums up the slots and the load of a set of upstreams, as far as this node
// knows. A slot is one request of an upstream's batch.
type poolCapacity struct {
	// hosts counts the usable upstreams.
	hosts int
	// limit is how many requests they batch together.
	limit float64
	// load is their load, by their reports and this node's own count.
	load float64
	// ownLoad is the part of load that came from this node.
	ownLoad float64
}

func (p poolCapacity) utilisation() float64 { return p.load / p.limit }

// measureCapacity recomputes the pool's capacity. The last report of an upstream counts
// whatever its age, since an upstream that stops reporting soon has an open breaker. The
// report is used directly rather than the mean: a version must give way, and come back,
// with the next report. Over a whole pool the random deviations of reports largely cancel
// out.
func (b *Balancer) measureCapacity(p *pool, now time.Duration) {
	p.capacity = poolCapacity{}
	p.inFlightAtMeasure = p.inFlight
	for _, h := range p.hosts {
		if !h.listed || h.leaving() {
			continue
		}
		if h.breaker.open() {
			p.capacity.addProbe(h, now)
			continue
		}
		p.capacity.hosts++
		p.capacity.limit += b.hostCapacity(p, h, now)
		p.capacity.load += float64(h.inFlight) + h.report.otherLoad.newest
		p.capacity.ownLoad += float64(h.inFlight)
	}
}

// addProbe counts an upstream whose breaker is open. It has one slot, for the probe, once
// it has answered a poll. When all upstreams of a version are lost, no request should
// have to discover that while other versions could run it.
func (p *poolCapacity) addProbe(h *host, now time.Duration) {
	if h.breaker.pollAnswered && h.breaker.allowsRequest(now) {
		p.hosts++
		p.limit++
	}
}
