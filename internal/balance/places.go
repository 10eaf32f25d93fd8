package balance

import "time"

// places is what a set of upstreams has room for, as far as this node knows.
type places struct {
	// engines are the usable upstreams.
	engines int
	// limit is how many requests they batch together.
	limit float64
	// work is what they have by their reports and this node's own count.
	work float64
	// own is the part of work that is this node's.
	own float64
}

func (p places) fullness() float64 { return p.work / p.limit }

// survey counts the pool's places. The last report of an upstream counts
// whatever its age: one that gives none any more soon has an open breaker. It is
// taken at its word, not as a mean: a version is to give way, and to come back,
// with the next report, and the chance in the reports of a pool adds up to less.
func (b *Balancer) survey(p *pool, now time.Duration) {
	p.places = places{}
	p.surveyed = p.inFlight
	for _, h := range p.hosts {
		if !h.listed || h.leaving() {
			continue
		}
		if h.breaker.open() {
			p.places.probe(h, now)
			continue
		}
		p.places.engines++
		p.places.limit += b.capacity(p, h, now)
		p.places.work += float64(h.inFlight) + h.report.others.newest
		p.places.own += float64(h.inFlight)
	}
}

// probe counts an upstream whose breaker is open. It has one place, for the
// request that may find it back, once it has answered when asked for its load:
// when all of a version's upstreams are lost, no request should have to find
// that out while other versions could run it.
func (p *places) probe(h *host, now time.Duration) {
	if h.breaker.heard && h.breaker.allows(now) {
		p.engines++
		p.limit++
	}
}
