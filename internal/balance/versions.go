package balance

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// wantedTTL is how long the node searches for a version after the last request for it.
const wantedTTL = time.Minute

// setVersions sets the versions of a report and reports whether they changed. A report
// from before the engine answered that it lacks a version must not bring that version
// back.
func (h *host) setVersions(versions []string, at time.Duration) bool {
	if at < h.versionMissingAt {
		return false
	}
	versions = slices.Clone(versions)
	slices.Sort(versions)
	versions = slices.Compact(versions)
	if h.versionsKnown && slices.Equal(h.versions, versions) {
		return false
	}
	h.versionsKnown = true
	h.versions = versions
	return true
}

// removeVersion records the engine's answer that it has not loaded the version.
func (h *host) removeVersion(version string, now time.Duration) {
	h.versionMissingAt = now
	h.versions = slices.DeleteFunc(slices.Clone(h.versions), func(v string) bool { return v == version })
}

// want records a request for a version of which the subset has too few upstreams.
func (b *Balancer) want(version string, now time.Duration) { b.wanted[version] = now }

// wantsAny reports whether one of the versions is wanted and has too few upstreams.
func (b *Balancer) wantsAny(versions []string, now time.Duration) bool {
	for _, v := range versions {
		at, ok := b.wanted[v]
		if ok && now < at+wantedTTL && len(b.versions[v].members()) < b.settings.MinPerVersion {
			return true
		}
	}
	return false
}

// needsSearch reports whether any wanted version has too few upstreams. It forgets
// versions that are no longer wanted.
func (b *Balancer) needsSearch(now time.Duration) bool {
	for v, at := range b.wanted {
		if now >= at+wantedTTL {
			delete(b.wanted, v)
			continue
		}
		if len(b.versions[v].members()) < b.settings.MinPerVersion {
			return true
		}
	}
	return false
}

// members returns the pool's hosts; a nil pool has none.
func (p *pool) members() []*host {
	if p == nil {
		return nil
	}
	return p.hosts
}

// addExtra adds an upstream from outside the subset if it has a version of which the
// subset has too few. It returns nil otherwise.
func (b *Balancer) addExtra(vmID string, r upstream.LoadReport, now time.Duration) *host {
	if !b.wantsAny(r.Versions, now) {
		return nil
	}
	at := slices.IndexFunc(b.unselected, func(m member) bool { return m.vm.ID == vmID })
	if at < 0 {
		return nil
	}
	h := b.addHost(b.unselected[at], nil, now, true)
	h.extra = true
	return h
}
