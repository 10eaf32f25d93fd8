package balance

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// serviceSubsetDivisor gives each plain service a subset of 1/4 of SubsetSize, in
// addition to the engines.
const serviceSubsetDivisor = 4

// SetMembers sets the platform's list of VMs, in which entry VMs are ignored, and this
// node's rank, and selects the node's subset. The caller must not change the list
// afterwards.
func (b *Balancer) SetMembers(vms []platform.VM, nodeRank NodeRank, now time.Time) {
	t := b.since(now)
	previous := b.hosts
	b.hosts = make(map[string]*host, b.settings.SubsetSize)
	b.order = b.order[:0]
	first := !b.started
	b.started = true

	engines, services := groupByRole(vms)
	engineSubset := chooseSubset(engines, b.settings.SelfDomain, nodeRank, b.settings.SubsetSize)
	b.unselected = engineSubset.unselected
	for _, m := range engineSubset.selected {
		b.addHost(m, previous, t, first)
	}
	for _, name := range services.names {
		serviceSubset := chooseSubset(services.members[name], b.settings.SelfDomain, nodeRank, max(1, b.settings.SubsetSize/serviceSubsetDivisor))
		for _, m := range serviceSubset.selected {
			b.addHost(m, previous, t, first)
		}
	}
	b.addListedExtras(previous, t)
	for id, h := range previous {
		h.listed = b.hosts[id] == h
	}
	b.rebuildPools(t)
}

// addHost adds a member to the hosts and keeps the state of a previous host with the same
// ID and address.
func (b *Balancer) addHost(m member, previous map[string]*host, now time.Duration, first bool) *host {
	h := previous[m.vm.ID]
	if h == nil || h.vm.Addr != m.vm.Addr {
		h = newHost(*m.vm, m.hash, b.settings.SelfDomain)
		h.joinedAt = now
		if first {
			// The upstreams in the first list after the node's start are not new, so they
			// need no slow start.
			h.joinedAt = now - b.settings.SlowStart
		}
	}
	h.vm = *m.vm
	h.listed = true
	h.leavingByPlatform = m.vm.State == platform.Leaving
	b.hosts[m.vm.ID] = h
	b.order = append(b.order, h)
	return h
}

// addListedExtras keeps the extra upstreams that are still in the list.
func (b *Balancer) addListedExtras(previous map[string]*host, now time.Duration) {
	for _, m := range b.unselected {
		h := previous[m.vm.ID]
		if h == nil || !h.extra || b.hosts[m.vm.ID] != nil {
			continue
		}
		b.addHost(m, previous, now, false)
	}
}

// serviceGroups holds the VMs of each plain service, with names in list order.
type serviceGroups struct {
	names   []string
	members map[string][]member
}

func groupByRole(vms []platform.VM) (engines []member, services serviceGroups) {
	services.members = map[string][]member{}
	for i := range vms {
		v := &vms[i]
		m := member{vm: v, hash: hashID(v.ID)}
		switch v.Role {
		case platform.RoleEngine:
			engines = append(engines, m)
		case platform.RoleService:
			if services.members[v.Service] == nil {
				services.names = append(services.names, v.Service)
			}
			services.members[v.Service] = append(services.members[v.Service], m)
		}
	}
	return engines, services
}

// rebuildPools assigns the upstreams to pools and failure domains.
func (b *Balancer) rebuildPools(now time.Duration) {
	for _, p := range b.versions {
		p.hosts = p.hosts[:0]
	}
	for _, p := range b.services {
		p.hosts = p.hosts[:0]
	}
	b.unknownEngines.hosts = b.unknownEngines.hosts[:0]
	b.knownEngines.hosts = b.knownEngines.hosts[:0]
	b.domains.reset()
	for _, h := range b.order {
		b.domains.add(h)
		b.addToPools(h)
	}
	b.buildSharedPools()
	b.refreshPools(now)
}

func (b *Balancer) addToPools(h *host) {
	if h.vm.Role == platform.RoleService {
		p := ensurePool(b.services, h.vm.Service)
		p.hosts = append(p.hosts, h)
		return
	}
	if !h.versionsKnown {
		b.unknownEngines.hosts = append(b.unknownEngines.hosts, h)
		return
	}
	b.knownEngines.hosts = append(b.knownEngines.hosts, h)
	for _, v := range h.versions {
		p := ensurePool(b.versions, v)
		p.hosts = append(p.hosts, h)
	}
}

func ensurePool(pools map[string]*pool, name string) *pool {
	p := pools[name]
	if p == nil {
		p = &pool{}
		pools[name] = p
	}
	return p
}
