package balance

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// wantedFor is how long a version that was asked for is looked for.
const wantedFor = time.Minute

// learn takes the versions of a report and says whether they changed. A
// report from before an engine's own word that it lacks a version must not
// bring it back.
func (h *host) learn(versions []string, at time.Duration) bool {
	if at < h.lackedAt {
		return false
	}
	versions = slices.Clone(versions)
	slices.Sort(versions)
	versions = slices.Compact(versions)
	if h.known && slices.Equal(h.versions, versions) {
		return false
	}
	h.known = true
	h.versions = versions
	return true
}

// lacks takes the engine's word that it has not loaded the version.
func (h *host) lacks(version string, now time.Duration) {
	h.lackedAt = now
	h.versions = slices.DeleteFunc(slices.Clone(h.versions), func(v string) bool { return v == version })
}

// want notes that a version was asked for of which the subset has too few.
func (b *Balancer) want(version string, now time.Duration) { b.wanted[version] = now }

// missing says whether the subset has too few upstreams of a wanted version
// among these.
func (b *Balancer) missing(versions []string, now time.Duration) bool {
	for _, v := range versions {
		at, ok := b.wanted[v]
		if ok && now < at+wantedFor && len(b.versions[v].known()) < b.settings.MinPerVersion {
			return true
		}
	}
	return false
}

// searching says whether any version is wanted of which there are too few.
func (b *Balancer) searching(now time.Duration) bool {
	for v, at := range b.wanted {
		if now >= at+wantedFor {
			delete(b.wanted, v)
			continue
		}
		if len(b.versions[v].known()) < b.settings.MinPerVersion {
			return true
		}
	}
	return false
}

// known returns the pool's hosts; a nil pool has none.
func (p *pool) known() []*host {
	if p == nil {
		return nil
	}
	return p.hosts
}

// adopt takes in an upstream from beyond the subset when it has a version of
// which the subset has too few.
func (b *Balancer) adopt(vmID string, r upstream.LoadReport, now time.Duration) *host {
	if !b.missing(r.Versions, now) {
		return nil
	}
	at := slices.IndexFunc(b.rest, func(m member) bool { return m.vm.ID == vmID })
	if at < 0 {
		return nil
	}
	h := b.keep(b.rest[at], nil, now, true)
	h.adopted = true
	return h
}
