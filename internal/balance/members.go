package balance

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// serviceShare is the part of SubsetSize that each plain service may take
// beside the engines: 1 of 4.
const serviceShare = 4

// SetMembers takes the list of VMs as the platform gives it (entry VMs in it
// are passed over) and this node's place, and chooses the node's subset. The
// list must not be changed afterwards.
func (b *Balancer) SetMembers(vms []platform.VM, place Place, now time.Time) {
	t := b.since(now)
	old := b.hosts
	b.hosts = make(map[string]*host, b.settings.SubsetSize)
	b.order = b.order[:0]
	first := !b.started
	b.started = true

	engines, services := group(vms)
	chosen := chooseSubset(engines, b.settings.SelfDomain, place, b.settings.SubsetSize)
	b.rest = chosen.rest
	for _, m := range chosen.chosen {
		b.keep(m, old, t, first)
	}
	for _, name := range services.names {
		part := chooseSubset(services.of[name], b.settings.SelfDomain, place, max(1, b.settings.SubsetSize/serviceShare))
		for _, m := range part.chosen {
			b.keep(m, old, t, first)
		}
	}
	b.keepAdopted(old, t)
	for id, h := range old {
		h.listed = b.hosts[id] == h
	}
	b.rebuild(t)
}

// keep takes a member into the subset, with what is known of it.
func (b *Balancer) keep(m member, old map[string]*host, now time.Duration, first bool) *host {
	h := old[m.vm.ID]
	if h == nil || h.vm.Addr != m.vm.Addr {
		h = newHost(*m.vm, m.hash, b.settings.SelfDomain)
		h.joined = now
		if first {
			// A node that has just started knows no one yet; that does
			// not make the upstreams new.
			h.joined = now - b.settings.SlowStart
		}
	}
	h.vm = *m.vm
	h.listed = true
	h.leavingByList = m.vm.State == platform.Leaving
	b.hosts[m.vm.ID] = h
	b.order = append(b.order, h)
	return h
}

// keepAdopted keeps those beyond the subset that were taken in for their
// versions and are still listed.
func (b *Balancer) keepAdopted(old map[string]*host, now time.Duration) {
	for _, m := range b.rest {
		h := old[m.vm.ID]
		if h == nil || !h.adopted || b.hosts[m.vm.ID] != nil {
			continue
		}
		b.keep(m, old, now, false)
	}
}

// serviceGroups are the VMs of each plain service, in the order of the list.
type serviceGroups struct {
	names []string
	of    map[string][]member
}

func group(vms []platform.VM) (engines []member, services serviceGroups) {
	services.of = map[string][]member{}
	for i := range vms {
		v := &vms[i]
		m := member{vm: v, hash: hashOf(v.ID)}
		switch v.Role {
		case platform.RoleEngine:
			engines = append(engines, m)
		case platform.RoleService:
			if services.of[v.Service] == nil {
				services.names = append(services.names, v.Service)
			}
			services.of[v.Service] = append(services.of[v.Service], m)
		}
	}
	return engines, services
}

// rebuild sorts the upstreams into pools.
func (b *Balancer) rebuild(now time.Duration) {
	for _, p := range b.versions {
		p.hosts = p.hosts[:0]
	}
	for _, p := range b.services {
		p.hosts = p.hosts[:0]
	}
	b.unsure.hosts = b.unsure.hosts[:0]
	b.engines.hosts = b.engines.hosts[:0]
	b.domains.restart()
	for _, h := range b.order {
		b.domains.join(h)
		b.sort(h)
	}
	b.share()
	b.refresh(now)
}

func (b *Balancer) sort(h *host) {
	if h.vm.Role == platform.RoleService {
		p := poolOf(b.services, h.vm.Service)
		p.hosts = append(p.hosts, h)
		return
	}
	if !h.known {
		b.unsure.hosts = append(b.unsure.hosts, h)
		return
	}
	b.engines.hosts = append(b.engines.hosts, h)
	for _, v := range h.versions {
		p := poolOf(b.versions, v)
		p.hosts = append(p.hosts, h)
	}
}

func poolOf(pools map[string]*pool, name string) *pool {
	p := pools[name]
	if p == nil {
		p = &pool{}
		pools[name] = p
	}
	return p
}
