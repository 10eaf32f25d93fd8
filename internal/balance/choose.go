package balance

import (
	"slices"
	"time"
)

// Pick chooses an upstream and counts the attempt as in flight there until Done. If it
// returns false, Pick.Shortage gives the reason.
func (b *Balancer) Pick(r Request) (Pick, bool) {
	now := b.since(r.Now)
	b.maintain(now)
	p := b.poolFor(&r, now)
	h := b.chooseHost(p, &r, now)
	if h == nil {
		return Pick{Shortage: b.shortage(p, now)}, false
	}
	h.inFlight++
	p.inFlight++
	h.breaker.requestSent()
	b.takeRateToken(h, now)
	if r.Isolated {
		h.isolatedInFlight++
	}
	token := b.attempts.add(attempt{host: h, pool: p, version: r.Version, started: now, isolated: r.Isolated})
	return Pick{VM: h.vm, Token: token}, true
}

// poolFor returns the pool to choose from. Engines that have not reported their versions
// are used only when no engine is known to have the version.
func (b *Balancer) poolFor(r *Request, now time.Duration) *pool {
	if r.Service != "" {
		return b.services[r.Service]
	}
	p := b.versions[r.Version]
	if len(b.unselected) > 0 && len(p.members()) < b.settings.MinPerVersion {
		b.want(r.Version, now)
	}
	if len(p.members()) == 0 {
		return &b.unknownEngines
	}
	return p
}

func (b *Balancer) chooseHost(p *pool, r *Request, now time.Duration) *host {
	s := &b.selection
	s.b, s.pool, s.now = b, p, now
	s.prefixHash, s.random, s.kind = r.PrefixHash, r.Random, r.Kind
	for t := tierPreferred; t < tierCount; t++ {
		s.hosts = s.hosts[:0]
		for _, h := range p.members() {
			if h.usable(now, t) && b.maySend(h, now) && !slices.Contains(r.Exclude, h.vm.ID) {
				s.hosts = append(s.hosts, h)
			}
		}
		if len(s.hosts) == 0 {
			continue
		}
		if r.Isolated {
			return fewestInFlight{}.choose(s)
		}
		return b.policy.choose(s)
	}
	return nil
}
