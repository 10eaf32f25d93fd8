package gateway

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/revision"
)

// applyFleet applies a reading of the list that began at the time at.
func (n *Node) applyFleet(c FleetChange, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	mayHaveLapsed := n.missedReadings(at) || n.isFirstOfEra(c.Revision)
	if c.Revision < n.view.listRevision {
		return // a later reading, by this node or a peer, is applied already
	}
	n.setListRevision(c.Revision)
	put, unborn := n.splitUnborn(c.Put)
	n.putUpstreams(put, now)
	n.dropUnreadable(slices.Concat(c.Unreadable, unborn))
	drop := c.Drop
	if c.Complete {
		drop = append(drop, n.unlisted(c.Put)...)
	}
	n.dropUpstreams(drop, at, mayHaveLapsed)
}

// errUnborn reports an entry without the start of an upstream that has stated it before.
var errUnborn = errors.New("born is missing, the upstream's entry has stated it before")

// splitUnborn returns the records that can be used, and as unreadable those that lack the start of an
// upstream that is known to state it: another program has overwritten its entry. As a record of
// another incarnation it would end what is known of the running one, as that it leaves. The
// caller holds mu.
func (n *Node) splitUnborn(records []fleet.Record) (usable []fleet.Record, unborn []UnreadableRow) {
	for _, r := range records {
		if known := n.fleet.Get(r.ID); r.Born == 0 && known != nil && known.Born != 0 {
			unborn = append(unborn, UnreadableRow{Key: r.ID, Err: errUnborn})
			continue
		}
		usable = append(usable, r)
	}
	return usable, unborn
}

// setListRevision sets the table's revision of the changes of the list that follow; the caller
// holds mu.
func (n *Node) setListRevision(r revision.Revision) {
	n.view.listRevision = r
	n.fleet.SetRevision(r)
}

// missedReadings reports whether upstreams' entries may have lapsed before a reading that
// began at the time at: this node's previous reading is then so old that the table may have
// been unavailable. The caller holds mu.
func (n *Node) missedReadings(at time.Time) bool {
	return !n.view.listAsOf.IsZero() && at.Sub(n.view.listAsOf) > outageIntervals*n.readInterval()
}

// outageIntervals is how many read intervals an outage lasts before missing upstreams may
// have lapsed: entries outlive a shorter outage.
const outageIntervals = 2

// unlisted returns the IDs of known upstreams that a complete list lacks.
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

// maxRecordsLogged is the maximum number of records of one change of the list that are logged one
// by one. In a fleet of thousands of upstreams hundreds change each second, at each node.
const maxRecordsLogged = 32

// putUpstreams adds or updates upstreams; the caller holds mu.
func (n *Node) putUpstreams(records []fleet.Record, now time.Time) {
	each := len(records) <= maxRecordsLogged || n.log.Enabled(context.Background(), slog.LevelDebug)
	changed := 0
	for _, r := range records {
		if n.putUpstream(r, now) {
			changed++
			if each {
				event.FleetChanged.Log(n.log, slog.String("upstream", r.ID), slog.String("service", r.Service), slog.String("addr", r.Addr),
					slog.Int64("born", r.Born), slog.String("version", r.Version), slog.Bool("draining", r.Draining), revisionAttr(n.view.listRevision))
			}
		}
	}
	if !each && changed > 0 {
		event.FleetChangedMuch.Log(n.log, slog.Int("upstreams", changed), revisionAttr(n.view.listRevision))
	}
}

// putUpstream adds or updates an upstream; it reports whether anything that routing uses has
// changed. The caller holds mu.
func (n *Node) putUpstream(r fleet.Record, now time.Time) bool {
	delete(n.view.retained, r.ID)
	known := n.fleet.Get(r.ID)
	if !n.fleet.Put(r, now) {
		return false
	}
	if known != nil && known.Born != r.Born {
		// Pooled connections ended with the earlier start of the upstream.
		n.pool.Forget(known.Addr)
	}
	n.noteVersion(r.Service, r.Version, now)
	return true
}

// dropUpstreams drops upstreams that are no longer listed. With mayHaveLapsed it retains
// them for a while; at is when the reading began. The caller holds mu.
//
// The table may have lost its entries during an outage: without retention all upstreams
// would vanish at once although they are alive. Live upstreams are listed again within
// lapseGrace. Only the first reading after an outage can show such a loss; upstreams that
// vanish later have left. Retained upstreams are not gossiped: a peer whose readings have
// no gap knows that they left.
func (n *Node) dropUpstreams(ids []string, at time.Time, mayHaveLapsed bool) {
	until := at.Add(lapseGrace)
	kept := 0
	for _, id := range ids {
		if !mayHaveLapsed {
			n.dropUpstream(id)
			continue
		}
		if n.fleet.MarkUnlisted(id) {
			n.view.retained[id] = until
			kept++
		}
	}
	if kept > 0 {
		event.FleetKept.Log(n.log, slog.Int("upstreams", kept), revisionAttr(n.view.listRevision))
	}
}

// dropUnreadable drops the upstreams whose entries can't be read, at once. The earlier
// entry has been overwritten, so it no longer describes the upstream. Other upstreams are
// unaffected.
func (n *Node) dropUnreadable(rows []UnreadableRow) {
	n.noteUnreadable(rows)
	for _, r := range rows {
		n.dropUpstream(r.Key)
	}
}

// dropUpstream drops an upstream, retained or not; the caller holds mu.
func (n *Node) dropUpstream(id string) {
	delete(n.view.retained, id)
	u := n.fleet.Get(id)
	if u == nil {
		return
	}
	n.fleet.Drop(id)
	event.FleetGone.Log(n.log, slog.String("upstream", id), slog.String("service", u.Service), revisionAttr(n.view.listRevision))
}

// dropExpiredRetained drops retained upstreams that a late enough reading, by this node or
// a peer, does not list either; the caller holds mu.
//
// Expiry depends on readings and not on the clock alone. By the clock, live upstreams would
// be dropped if the table fails again before it lists them. An upstream that has left would
// be retained for good by a node whose last own call failed and that makes no further call
// because its peers read for it.
func (n *Node) dropExpiredRetained() {
	for _, id := range slices.Sorted(maps.Keys(n.view.retained)) {
		if !n.view.listAsOf.Before(n.view.retained[id]) {
			n.dropUpstream(id)
		}
	}
}

// dropRetained drops all retained upstreams: a peer has read the table during this node's
// gap, so what vanished has left. The caller holds mu.
func (n *Node) dropRetained() {
	for _, id := range slices.Sorted(maps.Keys(n.view.retained)) {
		n.dropUpstream(id)
	}
}
