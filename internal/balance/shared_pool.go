package balance

import "slices"

// sharedPool holds the upstreams of a set of versions that share upstreams, directly or
// through other versions: a slot that one version takes is not available to the others.
type sharedPool struct {
	name  string
	hosts []*host
}

// buildSharedPools groups the versions into shared pools.
func (b *Balancer) buildSharedPools() {
	clear(b.sharedPools)
	names := make([]string, 0, len(b.versions))
	for name, p := range b.versions {
		if len(p.hosts) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		if b.sharedPools[name] == nil {
			b.addToSharedPool(&sharedPool{name: name}, name)
		}
	}
}

// addToSharedPool adds a version to a shared pool, and all versions connected to it by
// common upstreams.
func (b *Balancer) addToSharedPool(p *sharedPool, version string) {
	b.sharedPools[version] = p
	for _, h := range b.versions[version].hosts {
		if slices.Contains(p.hosts, h) {
			continue
		}
		p.hosts = append(p.hosts, h)
		for _, other := range h.versions {
			if b.sharedPools[other] == nil {
				b.addToSharedPool(p, other)
			}
		}
	}
}

// PoolName returns the name of the shared pool of a version's upstreams. Versions that
// share upstreams have the same name, and one admission queue serves them all. A version
// without known upstreams is a pool by itself.
func (b *Balancer) PoolName(version string) string {
	if p := b.sharedPools[version]; p != nil {
		return p.name
	}
	return version
}
