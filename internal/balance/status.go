package balance

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// HostStatus is the balancer's state of one upstream.
type HostStatus struct {
	VM       platform.VM
	InFlight int
	Versions []string
	Leaving  bool
	// Open is set while the breaker withholds requests.
	Open bool
	// Ejected is set while the upstream is ejected as slow or failing.
	Ejected bool
	// BackingOff is set during a back-off that the upstream requested from this node,
	// RateLimited while it advertises a rate limit.
	BackingOff, RateLimited bool
	// ReportAge is the age of the last load report; it is negative when there is none.
	ReportAge time.Duration
}

// Status returns the state of this node's upstreams, for operators and metrics.
func (b *Balancer) Status(now time.Time) []HostStatus {
	t := b.since(now)
	list := make([]HostStatus, 0, len(b.order))
	for _, h := range b.order {
		list = append(list, h.status(t))
	}
	return list
}

// IsOpen reports whether the breaker withholds requests from an upstream.
func (b *Balancer) IsOpen(vmID string) bool {
	h := b.hosts[vmID]
	return h != nil && h.breaker.open()
}

func (h *host) status(now time.Duration) HostStatus {
	s := HostStatus{
		VM:          h.vm,
		InFlight:    h.inFlight,
		Versions:    h.versions,
		Leaving:     h.leaving(),
		Open:        h.breaker.open(),
		Ejected:     h.outlier.ejected(now),
		BackingOff:  now < h.backoffUntil,
		RateLimited: h.rateLimit.Named,
		ReportAge:   -1,
	}
	if h.report.received {
		s.ReportAge = now - h.report.at
	}
	return s
}
