package balance

import "time"

// PoolLoad is what the upstreams of one pool reported together.
type PoolLoad struct {
	Running int
	Queued  int
	// Limit is how many requests they batch at a time. It is 0 when too little
	// is known.
	Limit int
	// Own is what of Running and Queued came from this node.
	Own int
}

// knownShare of a pool's upstreams must have reported lately: 1 of 4.
const knownShare = 4

// PoolLoad sums up the reports of the shared pool of a version, or of a service's
// upstreams. Those whose report is too old count as the mean of the
// others: with many upstreams and few polls there are always some, and without
// them the pool would seem smaller than it is.
func (b *Balancer) PoolLoad(version, service string, now time.Time) PoolLoad {
	t := b.since(now)
	var l PoolLoad
	var all, fresh int
	for _, h := range b.poolHosts(version, service) {
		if h.leaving() || h.breaker.open() {
			continue
		}
		all++
		if !h.report.have || t-h.report.at > b.pollCycles() {
			continue
		}
		fresh++
		l.Running += h.report.running
		l.Queued += h.report.queued
		l.Limit += int(h.report.limit)
		l.Own += h.report.own
	}
	if fresh == 0 || fresh*knownShare < all {
		return PoolLoad{}
	}
	return l.scaled(all, fresh)
}

func (b *Balancer) poolHosts(version, service string) []*host {
	if service != "" {
		return b.services[service].known()
	}
	if p := b.shared[version]; p != nil {
		return p.hosts
	}
	return nil
}

// pollCycles is how old a report may be: two rounds of polls, and MaxReportAge
// at the least.
func (b *Balancer) pollCycles() time.Duration {
	round := time.Duration(float64(len(b.order)) / b.settings.PollsPerSecond * float64(time.Second))
	return max(b.settings.MaxReportAge, 2*round)
}

func (l PoolLoad) scaled(all, fresh int) PoolLoad {
	return PoolLoad{
		Running: l.Running * all / fresh,
		Queued:  l.Queued * all / fresh,
		Limit:   l.Limit * all / fresh,
		Own:     l.Own * all / fresh,
	}
}
