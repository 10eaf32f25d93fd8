package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/fleet"
)

// The list of upstreams is kept in the table as a snapshot beside their own entries, which
// lapse while the table is away. Running nodes remember what was listed; after a loss of
// all nodes the snapshot does, and what it has beyond the list is tried until a later
// reading shows whether it lives.

const (
	// snapshotEvery is the least pause between two snapshots.
	snapshotEvery = 3 * time.Second
	// lapsedPart is the part of a snapshot that has to be missing from the first reading
	// before that counts as incomplete: a few upstreams come and go between a snapshot
	// and a start.
	lapsedPart = 0.25
)

// followSnapshots keeps the snapshot of the list up to date, at one node of the deployment.
func (n *Node) followSnapshots(ctx context.Context) {
	saved := uint64(0)
	for pause(ctx, snapshotEvery) {
		records, hash := n.snapshotDue(saved)
		if len(records) > 0 && n.saveSnapshot(ctx, records) {
			saved = hash
		}
	}
}

// snapshotDue returns what the snapshot should hold, and its hash; nothing where it holds
// that already, another node sees to it, or the list may be incomplete.
func (n *Node) snapshotDue(saved uint64) ([]fleet.Record, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	hash := n.fleet.StandingHash()
	first := n.roster.Groups()[0][0].ID
	complete := len(n.list.gone) == 0 && now.Sub(n.list.steadySince) > returnWatch && !n.list.awayAt.After(n.list.provenAt)
	if hash == saved || first != n.settings.ID || !complete {
		return nil, hash
	}
	return n.fleet.StandingRecords(now), hash
}

func (n *Node) saveSnapshot(ctx context.Context, records []fleet.Record) bool {
	data, err := fleet.EncodeRecords(records)
	if err != nil {
		panic(err) // records always encode
	}
	ctx, cancel := context.WithTimeout(withCause(ctx, CauseSnapshot), callTimeout)
	defer cancel()
	err = n.source.SaveSnapshot(ctx, data)
	n.sourceResult("snapshot", err)
	return err == nil
}

// loadSnapshot returns what the snapshot holds; nothing where it can't be read: the list
// alone counts then.
func (n *Node) loadSnapshot(ctx context.Context) []fleet.Record {
	ctx, cancel := context.WithTimeout(withCause(ctx, CauseSnapshot), callTimeout)
	defer cancel()
	data, err := n.source.LoadSnapshot(ctx)
	if err != nil || len(data) == 0 {
		return nil
	}
	records, err := fleet.DecodeRecords(data)
	if err != nil {
		event.RowUnreadable.Log(n.log, slog.String("key", "snapshot"), slog.String("err", err.Error()))
		return nil
	}
	return records
}

// keepLapsed has upstreams tried that were listed before the table was away and are not
// now, where they are so many that their entries have probably lapsed. at is when the
// reading began; the caller holds mu.
func (n *Node) keepLapsed(listed []fleet.Record, at time.Time) {
	var missing []fleet.Record
	for _, r := range listed {
		if n.fleet.Get(r.ID) == nil && !r.Draining {
			missing = append(missing, r)
		}
	}
	if float64(len(missing)) < lapsedPart*float64(len(listed)) {
		return
	}
	n.keep(missing, at.Add(lapseGrace))
}

// keep has upstreams tried that are not listed, until a reading that begins at a time or
// later does not list them either; the caller holds mu.
func (n *Node) keep(records []fleet.Record, until time.Time) {
	if len(records) == 0 {
		return
	}
	now := time.Now()
	for _, r := range records {
		if n.fleet.Get(r.ID) == nil {
			n.putUpstream(r, now)
			n.fleet.Keep(r.ID)
			n.list.gone[r.ID] = until
		}
	}
	event.FleetKept.Log(n.log, slog.Int("upstreams", len(records)), slog.Uint64("revision", n.list.revision))
}

// lapsed returns the upstreams that are kept though they are not listed; the caller holds
// mu.
func (n *Node) lapsed() []fleet.Record {
	var kept []fleet.Record
	for id := range n.list.gone {
		if u := n.fleet.Get(id); u != nil && !n.fleet.Leaves(u) {
			kept = append(kept, u.Record)
		}
	}
	return kept
}
