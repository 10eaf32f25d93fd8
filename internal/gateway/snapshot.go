package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/fleet"
)

// The table holds a snapshot of the list of upstreams beside the upstreams' own entries,
// which lapse while the table is unavailable. Running nodes remember what was listed. After
// a loss of all nodes only the snapshot does: upstreams that it has beyond the list are
// used until a later reading shows whether they are alive.

const (
	// snapshotInterval is the minimum pause between two snapshots.
	snapshotInterval = 3 * time.Second
	// lapsedFraction is the fraction of a snapshot that must be missing from the first
	// reading for the reading to count as incomplete. A few upstreams come and go between a
	// snapshot and a start.
	lapsedFraction = 0.25
)

// followSnapshots keeps the snapshot of the list up to date; only one node of the
// deployment writes.
func (n *Node) followSnapshots(ctx context.Context) {
	saved, restore := uint64(0), time.Time{}
	for pause(ctx, snapshotInterval) {
		if last := n.lastRestore(); last != restore {
			saved, restore = 0, last // the copy holds an earlier snapshot or none
		}
		records, hash := n.snapshotDue(saved)
		if len(records) > 0 && n.saveSnapshot(ctx, records) {
			saved = hash
		}
	}
}

// snapshotDue returns the records that the snapshot should hold, and their hash. It returns
// no records if the snapshot holds them already, another node writes it, or the list may be
// incomplete.
func (n *Node) snapshotDue(saved uint64) ([]fleet.Record, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if n.roster.Groups()[0][0].ID != n.settings.ID {
		return nil, saved
	}
	hash := n.fleet.EffectiveHash()
	complete := len(n.view.retained) == 0 && now.Sub(n.view.gaplessSince) > recoveryWindow && !n.view.unavailable()
	if hash == saved || !complete {
		return nil, hash
	}
	return n.fleet.EffectiveRecords(now), hash
}

// saveSnapshot writes the snapshot to the table; it reports whether the call succeeded.
func (n *Node) saveSnapshot(ctx context.Context, records []fleet.Record) bool {
	data, err := fleet.EncodeRecords(records)
	if err != nil {
		panic(err) // records always encode
	}
	ctx, cancel := context.WithTimeout(withCause(ctx, CauseSnapshot), tableCallTimeout)
	defer cancel()
	err = n.source.SaveSnapshot(ctx, data)
	n.sourceResult("snapshot", err)
	return err == nil
}

// loadSnapshot returns the records of the snapshot. It returns none if the snapshot can't
// be read; only the list counts then.
func (n *Node) loadSnapshot(ctx context.Context) []fleet.Record {
	ctx, cancel := context.WithTimeout(withCause(ctx, CauseSnapshot), tableCallTimeout)
	defer cancel()
	data, err := n.source.LoadSnapshot(ctx)
	if err != nil || len(data) == 0 {
		return nil
	}
	records, err := fleet.DecodeRecords(data)
	if err != nil {
		n.noteUnreadable([]UnreadableRow{{Key: "snapshot", Err: err}})
		return nil
	}
	return records
}

// retainMissing retains the upstreams of a snapshot that are not listed, if they are so
// many that their entries have probably lapsed. at is when the reading of the list began;
// the caller holds mu.
func (n *Node) retainMissing(listed []fleet.Record, at time.Time) {
	var missing []fleet.Record
	for _, r := range listed {
		if n.fleet.Get(r.ID) == nil && !r.Draining {
			missing = append(missing, r)
		}
	}
	if float64(len(missing)) < lapsedFraction*float64(len(listed)) {
		return
	}
	n.retain(missing, at.Add(lapseGrace))
}

// retain adds upstreams that are not listed, until a reading that begins at the time until
// or later does not list them either; the caller holds mu.
func (n *Node) retain(records []fleet.Record, until time.Time) {
	if len(records) == 0 {
		return
	}
	now := time.Now()
	for _, r := range records {
		if n.fleet.Get(r.ID) == nil {
			n.putUpstreams([]fleet.Record{r}, now)
			n.fleet.MarkUnlisted(r.ID)
			n.view.retained[r.ID] = until
		}
	}
	event.FleetKept.Log(n.log, slog.Int("upstreams", len(records)), revisionAttr(n.view.listRevision))
}

// retainedRecords returns the records of retained upstreams; the caller holds mu.
func (n *Node) retainedRecords() []fleet.Record {
	var kept []fleet.Record
	for id := range n.view.retained {
		if u := n.fleet.Get(id); u != nil && !n.fleet.IsLeaving(u) {
			kept = append(kept, u.Record)
		}
	}
	return kept
}
