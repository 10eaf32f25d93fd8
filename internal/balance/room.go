package balance

import "time"

// VersionCapacity is the capacity that this node's upstreams have for a version now.
type VersionCapacity struct {
	// Engines counts the usable engines that are known to have the version.
	Engines int
	// Unknown is set when no engine is known to have the version, but usable engines have
	// not reported their versions yet.
	Unknown bool
	// Share is the fraction, from 0 to 1, of the requests preferring the version that
	// should run on it now. The others are better off with another version.
	Share float64
}

// VersionCapacity returns the version's capacity now. When too few upstreams have the version, it
// also starts a search outside the subset, because a version that is never picked for
// lack of upstreams would otherwise stay unknown.
//
// It prevents two faults. A version that the configuration serves but no engine has
// loaded would attract all requests for which it is cheapest, and they would be refused
// while engines with other versions are idle. A version that only one engine of many has
// would get the work of all of them, and queue beside idle engines.
func (b *Balancer) VersionCapacity(version string, now time.Time) VersionCapacity {
	t := b.since(now)
	b.maintain(t)
	p := b.versions[version]
	if len(b.unselected) > 0 && len(p.members()) < b.settings.MinPerVersion {
		b.want(version, t)
	}
	if len(p.members()) == 0 {
		return VersionCapacity{Unknown: b.unknownEngines.capacity.hosts > 0}
	}
	if p.capacity.hosts == 0 {
		return VersionCapacity{}
	}
	return VersionCapacity{Engines: p.capacity.hosts, Share: b.versionShare(p)}
}

// versionShare returns the share for a pool that has usable engines.
//
// A version gives way only when its engines are full, and fuller than those that lack it.
// Versions on the same engines therefore never give way to each other. Reports are
// delayed, and many nodes with the same reports would send too much at once. So when
// there is more work than the version has slots, a node also limits its work on the
// version to its own share of all work. That share is delayed too, but it does not depend
// on the choice of version, so the load does not oscillate.
func (b *Balancer) versionShare(p *pool) float64 {
	started := float64(p.inFlight - p.inFlightAtMeasure)
	own, total := p.capacity, b.knownEngines.capacity
	own.load += started
	total.load += started
	others := poolCapacity{limit: total.limit - own.limit, load: total.load - own.load}
	if others.limit < 1 {
		return 1
	}
	if own.load >= own.limit*max(1, others.utilisation()) {
		return 0
	}
	if total.load < own.limit {
		return 1 // there would be room even for all work that there is
	}
	ownPart := min(1, max(1, total.ownLoad)/total.load)
	quota := ownPart * own.limit * max(1, total.utilisation())
	return min(1, max(0, quota-float64(p.inFlight)))
}
