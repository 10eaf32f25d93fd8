package balance

import (
	"slices"
	"time"
)

// Pick chooses an upstream and counts the attempt as in flight there until
// Done. When it returns false, Pick.Shortage says why.
func (b *Balancer) Pick(r Request) (Pick, bool) {
	now := b.since(r.Now)
	b.maintain(now)
	p := b.poolFor(&r, now)
	h := b.choose(p, &r, now)
	if h == nil {
		return Pick{Shortage: b.shortage(p, now)}, false
	}
	h.inFlight++
	p.inFlight++
	h.breaker.taken()
	b.spend(h, now)
	if r.Alone {
		h.isolated++
	}
	token := b.slots.take(slot{host: h, pool: p, version: r.Version, started: now, alone: r.Alone})
	return Pick{VM: h.vm, Token: token}, true
}

// poolFor returns the upstreams to choose from. Engines whose versions are not
// known yet are tried only when none is known to have the version.
func (b *Balancer) poolFor(r *Request, now time.Duration) *pool {
	if r.Service != "" {
		return b.services[r.Service]
	}
	p := b.versions[r.Version]
	if len(b.rest) > 0 && len(p.known()) < b.settings.MinPerVersion {
		b.want(r.Version, now)
	}
	if len(p.known()) == 0 {
		return &b.unsure
	}
	return p
}

func (b *Balancer) choose(p *pool, r *Request, now time.Duration) *host {
	v := &b.view
	v.b, v.pool, v.now = b, p, now
	v.prefix, v.random, v.kind = r.PrefixHash, r.Random, r.Kind
	for t := tierGood; t < tiers; t++ {
		v.hosts = v.hosts[:0]
		for _, h := range p.known() {
			if h.usable(now, t) && b.admits(h, now) && !slices.Contains(r.Exclude, h.vm.ID) {
				v.hosts = append(v.hosts, h)
			}
		}
		if len(v.hosts) == 0 {
			continue
		}
		if r.Alone {
			return quietest{}.choose(v)
		}
		return b.policy.choose(v)
	}
	return nil
}
