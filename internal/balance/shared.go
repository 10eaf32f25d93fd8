package balance

import "slices"

// sharedPool is the upstreams of all versions that share upstreams with each
// other, directly or by others between them: a place that one of the versions
// takes is a place that the others lack.
type sharedPool struct {
	name  string
	hosts []*host
}

// share joins the versions into shared pools.
func (b *Balancer) share() {
	clear(b.shared)
	names := make([]string, 0, len(b.versions))
	for name, p := range b.versions {
		if len(p.hosts) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		if b.shared[name] == nil {
			b.spread(&sharedPool{name: name}, name)
		}
	}
}

// spread takes a version into a shared pool, with all that it leads to.
func (b *Balancer) spread(p *sharedPool, version string) {
	b.shared[version] = p
	for _, h := range b.versions[version].hosts {
		if slices.Contains(p.hosts, h) {
			continue
		}
		p.hosts = append(p.hosts, h)
		for _, other := range h.versions {
			if b.shared[other] == nil {
				b.spread(p, other)
			}
		}
	}
}

// PoolName names the shared pool of a version's upstreams: versions that share
// upstreams have one name, and one queue is to admit to all of them. A version
// that no upstream is known to have is a pool by itself.
func (b *Balancer) PoolName(version string) string {
	if p := b.shared[version]; p != nil {
		return p.name
	}
	return version
}
