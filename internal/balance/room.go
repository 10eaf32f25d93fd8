package balance

import "time"

// Room is what this node's upstreams can do for a version, among those that a
// request may run on.
type Room struct {
	// Engines are the usable engines that are known to have it.
	Engines int
	// Unsure says that none is known to have it, but that there are usable
	// engines whose versions are not known yet.
	Unsure bool
	// Share is the part, from 0 to 1, of the requests that would take the
	// version which it has room for now. The others are better off with
	// another version.
	Share float64
}

// Room says what the version's upstreams can do now. When too few have the
// version it also has others looked for beyond the subset: a version that is
// never picked for want of upstreams must not stay unknown for that.
//
// It guards against two faults. A version that serves by the configuration but
// that no engine has loaded would take all requests for which it is the
// cheapest, and each would be refused while other versions stand idle. And a
// version on one engine of many would get the work of all of them. They show
// as refusals, and as a queue, beside idle engines.
func (b *Balancer) Room(version string, now time.Time) Room {
	t := b.since(now)
	b.maintain(t)
	p := b.versions[version]
	if len(b.rest) > 0 && len(p.known()) < b.settings.MinPerVersion {
		b.want(version, t)
	}
	if len(p.known()) == 0 {
		return Room{Unsure: b.unsure.places.engines > 0}
	}
	if p.places.engines == 0 {
		return Room{}
	}
	return Room{Engines: p.places.engines, Share: b.roomShare(p)}
}

// roomShare is the share of a pool that has usable engines.
//
// A version gives way only when its engines are full, and fuller than those
// that lack it: versions on the same engines never give way to each other. But
// reports lag, and many nodes with the same reports would send too much at
// once. So when there is more work than the version has places, a node also
// keeps its own work on it to its own part of all work: that part lags too,
// but it does not change with the choice, so nothing swings.
func (b *Balancer) roomShare(p *pool) float64 {
	begun := float64(p.inFlight - p.surveyed)
	mine, all := p.places, b.engines.places
	mine.work += begun
	all.work += begun
	rest := places{limit: all.limit - mine.limit, work: all.work - mine.work}
	if rest.limit < 1 {
		return 1
	}
	if mine.work >= mine.limit*max(1, rest.fullness()) {
		return 0
	}
	if all.work < mine.limit {
		return 1 // there would be room even for all work that there is
	}
	part := min(1, max(1, all.own)/all.work)
	quota := part * mine.limit * max(1, all.fullness())
	return min(1, max(0, quota-float64(p.inFlight)))
}
