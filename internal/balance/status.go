package balance

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// HostStatus is what the balancer holds of one upstream.
type HostStatus struct {
	VM       platform.VM
	InFlight int
	Versions []string
	Leaving  bool
	// Open is set while the breaker keeps requests away.
	Open bool
	// Ejected is set while the upstream counts as slow but alive.
	Ejected bool
	// Resting is set while it wants nothing from this node, Limited while it names a rate
	// limit.
	Resting, Limited bool
	// ReportAge is the age of its last load report; negative: there is none.
	ReportAge time.Duration
}

// Status describes the upstreams of the subset, for operators and metrics.
func (b *Balancer) Status(now time.Time) []HostStatus {
	t := b.since(now)
	list := make([]HostStatus, 0, len(b.order))
	for _, h := range b.order {
		list = append(list, h.status(t))
	}
	return list
}

func (h *host) status(now time.Duration) HostStatus {
	s := HostStatus{
		VM:        h.vm,
		InFlight:  h.inFlight,
		Versions:  h.versions,
		Leaving:   h.leaving(),
		Open:      h.breaker.open(),
		Ejected:   h.outlier.ejected(now),
		Resting:   now < h.restUntil,
		Limited:   h.limit.Named,
		ReportAge: -1,
	}
	if h.report.have {
		s.ReportAge = now - h.report.at
	}
	return s
}
