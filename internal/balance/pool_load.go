package balance

import "time"

// PoolLoad is the total load that the upstreams of a pool reported, in requests.
type PoolLoad struct {
	Running int
	Queued  int
	// Limit is how many requests they batch at a time. It is 0 when too few upstreams
	// have reported recently.
	Limit int
	// Own is the part of Running and Queued that came from this node.
	Own int
}

// minFreshDivisor requires that 1/4 of a pool's upstreams have reported recently.
const minFreshDivisor = 4

// PoolLoad sums up the reports of the shared pool of a version, or of a service's
// upstreams. Upstreams whose report is too old count as the mean of the others. With many
// upstreams and few polls there are always some, and without them the pool would seem
// smaller than it is. It returns the zero value when too few upstreams have reported.
func (b *Balancer) PoolLoad(version, service string, now time.Time) PoolLoad {
	t := b.since(now)
	var l PoolLoad
	var usable, fresh int
	for _, h := range b.poolHosts(version, service) {
		if h.leaving() || h.breaker.open() {
			continue
		}
		usable++
		if !h.report.received || t-h.report.at > b.maxPoolLoadAge() {
			continue
		}
		fresh++
		l.Running += h.report.running
		l.Queued += h.report.queued
		l.Limit += int(h.report.limit)
		l.Own += h.report.ownInFlight
	}
	if fresh == 0 || fresh*minFreshDivisor < usable {
		return PoolLoad{}
	}
	return l.scaled(usable, fresh)
}

func (b *Balancer) poolHosts(version, service string) []*host {
	if service != "" {
		return b.services[service].members()
	}
	if p := b.sharedPools[version]; p != nil {
		return p.hosts
	}
	return nil
}

// maxPoolLoadAge returns how old a report may be: two rounds of polls, but at least
// MaxReportAge.
func (b *Balancer) maxPoolLoadAge() time.Duration {
	pollRound := time.Duration(float64(len(b.order)) / b.settings.PollsPerSecond * float64(time.Second))
	return max(b.settings.MaxReportAge, 2*pollRound)
}

// scaled extrapolates the load from the fresh upstreams to all usable ones.
func (l PoolLoad) scaled(usable, fresh int) PoolLoad {
	return PoolLoad{
		Running: l.Running * usable / fresh,
		Queued:  l.Queued * usable / fresh,
		Limit:   l.Limit * usable / fresh,
		Own:     l.Own * usable / fresh,
	}
}
