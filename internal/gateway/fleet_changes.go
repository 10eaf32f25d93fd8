package gateway

import (
	"log/slog"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/fleet"
)

// missedFleet notes that the list could not be read.
func (n *Node) missedFleet() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.list.missed = true
}

// applyFleet takes a reading of the list.
func (n *Node) applyFleet(c FleetChange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	lapsing := n.list.missed && n.list.revision > 0
	n.list.missed = false
	if c.Revision < n.list.revision {
		return // a peer's or an earlier reading arrived late
	}
	n.list.revision = c.Revision
	listed := map[string]bool{}
	for _, r := range c.Put {
		listed[r.ID] = true
		n.putUpstream(r)
	}
	drop := c.Drop
	if c.Whole {
		drop = append(drop, n.unlisted(listed)...)
	}
	n.dropUpstreams(drop, lapsing)
}

// unlisted returns the known upstreams that a complete list lacks.
func (n *Node) unlisted(listed map[string]bool) []string {
	var ids []string
	for _, r := range n.fleet.Records() {
		if !listed[r.ID] {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

func (n *Node) putUpstream(r fleet.Record) {
	delete(n.list.gone, r.ID)
	if !n.fleet.Put(r) {
		return
	}
	n.meetVersion(r.Service, r.Version, time.Now())
	event.FleetChanged.Log(n.log, slog.String("upstream", r.ID), slog.String("service", r.Service), slog.String("addr", r.Addr),
		slog.String("version", r.Version), slog.Bool("draining", r.Draining), slog.Uint64("revision", n.list.revision))
}

// dropUpstreams forgets upstreams that are no longer listed; those that lapsed
// are kept for a while.
//
// It guards against a table that lost its entries while it was away: without
// it every upstream would vanish at once although all live. Those that do are
// listed again within lapseGrace. Only the first reading after an outage can
// show such a loss: what vanishes later has left.
func (n *Node) dropUpstreams(ids []string, lapsing bool) {
	until := time.Now().Add(lapseGrace)
	kept := 0
	for _, id := range ids {
		if !lapsing {
			n.dropUpstream(id)
			continue
		}
		if n.list.gone[id].IsZero() && n.fleet.Get(id) != nil {
			n.list.gone[id] = until
			kept++
		}
	}
	if kept > 0 {
		event.FleetKept.Log(n.log, slog.Int("upstreams", kept), slog.Uint64("revision", n.list.revision))
	}
}

func (n *Node) dropUpstream(id string) {
	delete(n.list.gone, id)
	u := n.fleet.Get(id)
	if u == nil {
		return
	}
	n.fleet.Drop(id)
	event.FleetGone.Log(n.log, slog.String("upstream", id), slog.String("service", u.Service), slog.Uint64("revision", n.list.revision))
}

// dropLapsed forgets kept upstreams that were not listed again in time.
func (n *Node) dropLapsed(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sources.down {
		return
	}
	var ids []string
	for id, until := range n.list.gone {
		if !now.Before(until) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		n.dropUpstream(id)
	}
}
