package gateway

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/fleet"
)

// applyFleet takes a reading of the list that began at a time.
func (n *Node) applyFleet(c FleetChange, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	lapsing := n.wasAway(at)
	if c.Revision < n.list.revision {
		return // a peer's or an earlier reading arrived late
	}
	n.list.revision = c.Revision
	for _, r := range c.Put {
		n.putUpstream(r, now)
	}
	n.dropUnreadable(c.Unreadable)
	drop := c.Drop
	if c.Whole {
		drop = append(drop, n.unlisted(c.Put)...)
	}
	n.dropUpstreams(drop, at, lapsing)
}

// wasAway tells whether the table may have been away before a reading that began at a
// time: this node has no other for so long before it that upstreams' entries may have
// lapsed; the caller holds mu.
func (n *Node) wasAway(at time.Time) bool {
	return !n.list.provenAt.IsZero() && at.Sub(n.list.provenAt) > awayTimes*n.readEvery()
}

// awayTimes is how many readings in a row have to fail before upstreams that
// vanish may have lapsed: entries outlive a shorter outage.
const awayTimes = 2

// unlisted returns the known upstreams that a complete list lacks.
func (n *Node) unlisted(list []fleet.Record) []string {
	listed := make(map[string]bool, len(list))
	for _, r := range list {
		listed[r.ID] = true
	}
	var ids []string
	for _, r := range n.fleet.Records(time.Now()) {
		if !listed[r.ID] {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

func (n *Node) putUpstream(r fleet.Record, now time.Time) {
	delete(n.list.gone, r.ID)
	known := n.fleet.Get(r.ID)
	if !n.fleet.Put(r, now) {
		return
	}
	if known != nil && known.Born != r.Born {
		// Its kept connections ended with it.
		n.pool.Forget(known.Addr)
	}
	n.meetVersion(r.Service, r.Version, now)
	event.FleetChanged.Log(n.log, slog.String("upstream", r.ID), slog.String("service", r.Service), slog.String("addr", r.Addr),
		slog.Int64("born", r.Born), slog.String("version", r.Version), slog.Bool("draining", r.Draining), slog.Uint64("revision", n.list.revision))
}

// dropUpstreams forgets upstreams that are no longer listed; those that lapsed
// are kept for a while.
//
// It guards against a table that lost its entries while it was away: without
// it every upstream would vanish at once although all live. Those that do are
// listed again within lapseGrace. Only the first reading after an outage can
// show such a loss: what vanishes later has left. Kept upstreams are not told
// to peers: a peer that has had the table all the while knows that they left. at is
// when the reading began.
func (n *Node) dropUpstreams(ids []string, at time.Time, lapsing bool) {
	until := at.Add(lapseGrace)
	kept := 0
	for _, id := range ids {
		if !lapsing {
			n.dropUpstream(id)
			continue
		}
		if n.fleet.Keep(id) {
			n.list.gone[id] = until
			kept++
		}
	}
	if kept > 0 {
		event.FleetKept.Log(n.log, slog.Int("upstreams", kept), slog.Uint64("revision", n.list.revision))
	}
}

// dropUnreadable forgets the upstreams whose entries can't be read, at once: what
// stood there before has been written over, and says nothing of the upstream
// any more. The others hold.
func (n *Node) dropUnreadable(rows []Unreadable) {
	for _, r := range rows {
		n.unreadable(r)
		n.dropUpstream(r.Key)
	}
}

// unreadable notes a row that could not be read.
func (n *Node) unreadable(r Unreadable) {
	n.metrics.Counter("hickorybank_unreadable_rows_total").Inc()
	event.RowUnreadable.Log(n.log, slog.String("key", r.Key), slog.String("err", r.Err.Error()))
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

// dropLapsed forgets kept upstreams that a reading has not listed again in time, this
// node's own or a peer's; the caller holds mu.
//
// It guards against both ways of going by the clock: upstreams that live would be
// dropped where the table is away again before it lists them, and one that has left
// would be kept for good by a node whose own last call failed and that needs no other,
// as its peers read for it.
func (n *Node) dropLapsed() {
	for _, id := range slices.Sorted(maps.Keys(n.list.gone)) {
		if !n.list.provenAt.Before(n.list.gone[id]) {
			n.dropUpstream(id)
		}
	}
}

// dropKept forgets all kept upstreams: a peer has had the table while this
// node had not, so that what vanished has left; the caller holds mu.
func (n *Node) dropKept() {
	for _, id := range slices.Sorted(maps.Keys(n.list.gone)) {
		n.dropUpstream(id)
	}
}
