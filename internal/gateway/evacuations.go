package gateway

import (
	"log/slog"
	"time"

	"github.com/hickorybank/hickorybank/internal/evacuation"
	"github.com/hickorybank/hickorybank/internal/event"
)

// takeEvacuations takes orders to evacuate failure domains, from the table or a peer; the
// caller holds mu.
func (n *Node) takeEvacuations(orders []evacuation.Order, from string) {
	for _, o := range orders {
		if n.evacuations.Take(o) {
			n.enforceEvacuation(o, from)
		}
	}
}

// endOtherEvacuations ends the orders that a complete reading of the table lacks; the
// caller holds mu.
func (n *Node) endOtherEvacuations(c OrdersChange) {
	for _, o := range n.evacuations.EndOthers(c.Evacuations, c.Revision) {
		n.enforceEvacuation(o, fromTable)
	}
}

// enforceEvacuation has a change of a domain's state in force here, and the nodes told
// for which this one reads; the caller holds mu.
func (n *Node) enforceEvacuation(o evacuation.Order, from string) {
	now := time.Now()
	n.fleet.SetEvacuated(o.Domain, !o.Ended, now)
	attrs := []slog.Attr{slog.String("domain", o.Domain), slog.Uint64("revision", o.Revision), slog.String("from", from)}
	if o.Ended {
		event.EvacuationEnded.Log(n.log, attrs...)
	} else {
		event.EvacuationBegan.Log(n.log, attrs...)
		n.checkEvacuation(o, now)
	}
	if n.leads() {
		n.tellSoon()
	}
}

// checkEvacuation reports what an operator would want to know of a new order.
func (n *Node) checkEvacuation(o evacuation.Order, now time.Time) {
	if _, known := n.settings.Regions[o.Domain]; !known && len(n.settings.Regions) > 0 {
		event.EvacuationUnknown.Log(n.log, slog.String("domain", o.Domain))
	}
	for _, service := range n.fleet.Stranded(now) {
		event.EvacuationStrands.Log(n.log, slog.String("domain", o.Domain), slog.String("service", service))
	}
}

// evacuatedDomains is how many failure domains are to be evacuated.
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
