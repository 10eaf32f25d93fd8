package gateway

import (
	"log/slog"
	"time"

	"github.com/hickorybank/hickorybank/internal/evacuation"
	"github.com/hickorybank/hickorybank/internal/event"
)

// applyEvacuations applies evacuation orders from the table or a peer; the caller holds mu.
func (n *Node) applyEvacuations(orders []evacuation.Order, from string) {
	for _, o := range orders {
		if n.evacuations.Apply(o) {
			n.setEvacuation(o, from)
		}
	}
}

// endMissingEvacuations ends the orders that a complete reading of the table lacks; the
// caller holds mu.
func (n *Node) endMissingEvacuations(c OrdersChange) {
	for _, o := range n.evacuations.EndUnlisted(c.Evacuations, c.Revision) {
		n.setEvacuation(o, fromTable)
	}
}

// setEvacuation applies the new state of a failure domain and, on a group's leader, has the
// other nodes notified; the caller holds mu.
func (n *Node) setEvacuation(o evacuation.Order, from string) {
	now := time.Now()
	n.fleet.SetEvacuated(o.Domain, !o.Ended, now)
	attrs := []slog.Attr{slog.String("domain", o.Domain), revisionAttr(o.Revision), slog.String("from", from)}
	if o.Ended {
		event.EvacuationEnded.Log(n.log, attrs...)
	} else {
		event.EvacuationBegan.Log(n.log, attrs...)
		n.warnAboutEvacuation(o, now)
	}
	if n.leadsGroup() {
		n.requestPush()
	}
}

// warnAboutEvacuation logs problems of a new order: an unknown failure domain, or services
// that are left without upstreams.
func (n *Node) warnAboutEvacuation(o evacuation.Order, now time.Time) {
	if _, known := n.settings.Regions[o.Domain]; !known && len(n.settings.Regions) > 0 {
		event.EvacuationUnknown.Log(n.log, slog.String("domain", o.Domain))
	}
	for _, service := range n.fleet.FullyEvacuatedServices(now) {
		event.EvacuationStrands.Log(n.log, slog.String("domain", o.Domain), slog.String("service", service))
	}
}

// evacuatedDomains returns the number of failure domains with an active evacuation order.
func (n *Node) evacuatedDomains() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	active := 0
	for _, o := range n.evacuations.All() {
		if !o.Ended {
			active++
		}
	}
	return float64(active)
}
