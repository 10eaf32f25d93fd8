package balance

import (
	"math"
	"time"
)

const (
	// maintainInterval is the interval at which means are recomputed and slow upstreams
	// ejected.
	maintainInterval = 500 * time.Millisecond
	// minLateAfter is the shortest wait for a first piece that counts as late.
	minLateAfter = 2 * time.Second
	// lateRequestsToEject is the number of simultaneous late requests that ejects an
	// upstream.
	lateRequestsToEject = 2
)

// maintain runs the periodic work once it is due.
func (b *Balancer) maintain(now time.Duration) {
	if now < b.refreshedAt+maintainInterval {
		return
	}
	b.refreshPools(now)
	b.countLate(now)
	b.ejectSlow(now)
	b.domains.ejectFailing(b.order, b.settings.Outlier, now)
}

func (b *Balancer) refreshPools(now time.Duration) {
	b.refreshedAt = now
	for _, p := range b.versions {
		b.refreshEngines(p, now)
	}
	for _, p := range b.services {
		p.refreshMeans(now, b.settings.MaxReportAge)
	}
	b.refreshEngines(&b.unknownEngines, now)
	b.refreshEngines(&b.knownEngines, now)
}

func (b *Balancer) refreshEngines(p *pool, now time.Duration) {
	p.refreshMeans(now, b.settings.MaxReportAge)
	b.measureCapacity(p, now)
}

// countLate counts, for each upstream, the requests that have waited far too long for
// their first piece. An upstream that accepts requests and never answers yields no
// samples for the means.
func (b *Balancer) countLate(now time.Duration) {
	for _, h := range b.order {
		h.outlier.lateRequests = 0
	}
	if !b.firstTokensReported {
		return
	}
	for i := range b.attempts.entries {
		a := &b.attempts.entries[i]
		if a.host != nil && !a.firstTokenSeen && now-a.started > b.lateAfter(a.pool) {
			a.host.outlier.lateRequests++
		}
	}
}

func (b *Balancer) lateAfter(p *pool) time.Duration {
	typicalFirstToken := time.Duration(math.Exp(p.typical.firstToken.value))
	bound := time.Duration(float64(typicalFirstToken) * b.settings.Outlier.Ratio * firstTokenFactor)
	return max(bound, minLateAfter)
}

func (b *Balancer) ejectSlow(now time.Duration) {
	for _, p := range b.versions {
		b.ejectFrom(p, now)
	}
	for _, p := range b.services {
		b.ejectFrom(p, now)
	}
}

func (b *Balancer) ejectFrom(p *pool, now time.Duration) {
	quota := int(b.settings.Outlier.MaxShare*float64(len(p.hosts))) - p.ejectedCount(now)
	for _, h := range p.hosts {
		if h.outlier.ejected(now) {
			continue
		}
		h.outlier.resetIfRecovered(now)
		if quota > 0 && (h.outlier.slow(b.settings.Outlier) || h.outlier.lateRequests >= lateRequestsToEject || p.failing(h)) {
			h.outlier.eject(b.settings.Outlier, now)
			b.recordChange(h, Ejected)
			// A slow start follows the ejection.
			h.joinedAt = h.outlier.ejectedUntil
			quota--
		}
	}
}
