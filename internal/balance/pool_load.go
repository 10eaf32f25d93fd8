package balance

import "time"

// PoolLoad is what the upstreams of one version or service reported together.
type PoolLoad struct {
	Running int
	Queued  int
	// Limit is how many requests they batch at a time. It is 0 when nothing
	// is known.
	Limit int
	// Own is what of Running and Queued came from this node.
	Own int
}

// PoolLoad sums up the reports of the upstreams that a request of that version
// or service may go to, as far as they are not too old.
func (b *Balancer) PoolLoad(version, service string, now time.Time) PoolLoad {
	t := b.since(now)
	p := b.versions[version]
	if service != "" {
		p = b.services[service]
	}
	var l PoolLoad
	for _, h := range p.known() {
		if !h.report.have || t-h.report.at > b.settings.MaxReportAge || h.leaving() {
			continue
		}
		l.Running += h.report.running
		l.Queued += h.report.queued
		l.Own += h.report.own
		l.Limit += int(h.report.limit)
	}
	return l
}
