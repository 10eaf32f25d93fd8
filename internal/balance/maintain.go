package balance

import (
	"math"
	"time"
)

const (
	// maintainGap is how often means are recomputed and slow upstreams looked for.
	maintainGap = 500 * time.Millisecond
	// lateAtLeast is the least wait for a first piece that counts as late.
	lateAtLeast = 2 * time.Second
	// lateRequests at one time, all of an upstream's, eject it.
	lateRequests = 2
)

// maintain does what falls due with time.
func (b *Balancer) maintain(now time.Duration) {
	if now < b.refreshed+maintainGap {
		return
	}
	b.refresh(now)
	b.countLate(now)
	b.ejectSlow(now)
	b.domains.ejectFailing(b.order, b.settings.Outlier, now)
}

func (b *Balancer) refresh(now time.Duration) {
	b.refreshed = now
	for _, p := range b.versions {
		b.refreshEngines(p, now)
	}
	for _, p := range b.services {
		p.refresh(now, b.settings.MaxReportAge)
	}
	b.refreshEngines(&b.unsure, now)
	b.refreshEngines(&b.engines, now)
}

func (b *Balancer) refreshEngines(p *pool, now time.Duration) {
	p.refresh(now, b.settings.MaxReportAge)
	b.survey(p, now)
}

// countLate counts each upstream's requests that wait far too long for their
// first piece: an upstream that takes requests and says nothing gives no
// sample that the means could show.
func (b *Balancer) countLate(now time.Duration) {
	for _, h := range b.order {
		h.outlier.late = 0
	}
	if !b.sawFirst {
		return
	}
	for i := range b.slots.list {
		s := &b.slots.list[i]
		if s.host != nil && !s.answered && now-s.started > b.lateAfter(s.pool) {
			s.host.outlier.late++
		}
	}
}

func (b *Balancer) lateAfter(p *pool) time.Duration {
	usual := time.Duration(math.Exp(p.typical.first.value))
	bound := time.Duration(float64(usual) * b.settings.Outlier.Ratio * firstTokenSlack)
	return max(bound, lateAtLeast)
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
	room := int(b.settings.Outlier.MaxShare*float64(len(p.hosts))) - p.ejected(now)
	for _, h := range p.hosts {
		if h.outlier.ejected(now) {
			continue
		}
		h.outlier.recovered(now)
		if room > 0 && (h.outlier.slow(b.settings.Outlier) || h.outlier.late >= lateRequests || p.failing(h)) {
			h.outlier.eject(b.settings.Outlier, now)
			b.changed(h, Ejected)
			// It comes back slowly.
			h.joined = h.outlier.until
			room--
		}
	}
}
