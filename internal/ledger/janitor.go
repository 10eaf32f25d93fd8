package ledger

import (
	"context"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/ledger/claim"
	"github.com/hickorybank/hickorybank/internal/ledger/fate"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/platform"
)

const (
	// floorStep is the granularity of floors. Each change of a floor makes the next
	// write of every batcher of the shard fail once.
	floorStep = time.Hour
	// maxDeletes bounds the rows deleted in one transaction.
	maxDeletes = 500
	// maxDeleteTxns bounds the transactions that delete rows of one shard in one run.
	maxDeleteTxns = 20
	// summaryLookback is the age up to which closed buckets are checked for a summary.
	summaryLookback = 48 * time.Hour
	// maxSummarySteps bounds the buckets, or parts of them, summarised in one run.
	maxSummarySteps = 20
)

// janitor is the background task that deletes claims older than the retention window,
// summarises closed buckets, compacts small objects and moves old bills out of the table.
// One node does it in each period. It is safe if two nodes do it at a time.
type janitor struct{ ledger *Ledger }

func newJanitor(l *Ledger) *janitor { return &janitor{ledger: l} }

// run runs the task until ctx ends.
func (j *janitor) run(ctx context.Context) {
	every := j.ledger.settings.Janitor
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if j.ledger.router.isJanitor(now, now.UnixNano()/int64(every)) {
				j.runOnce(ctx, now)
			}
		}
	}
}

func (j *janitor) runOnce(ctx context.Context, now time.Time) {
	err := j.ledger.deleteOld(ctx, now)
	if err == nil {
		err = j.summarise(ctx, now)
	}
	if err == nil {
		err = j.compactSome(ctx, now)
	}
	if err == nil {
		err = j.prune(ctx, now)
	}
	if err != nil && ctx.Err() == nil {
		event.LedgerJanitorLate.Log(j.ledger.deps.Log, slog.Any("error", err))
	}
}

// summarise summarises closed buckets that have no summary yet.
func (j *janitor) summarise(ctx context.Context, now time.Time) error {
	l := j.ledger
	left := maxSummarySteps
	for _, kind := range []key.Kind{key.Timed, key.Opaque} {
		to := now.Add(-l.settings.Window)
		buckets := l.settings.Layout.Buckets(kind, to.Add(-summaryLookback), to)
		summarised, err := l.store.summaries(ctx, buckets[0])
		if err != nil {
			return err
		}
		for _, b := range buckets {
			if left == 0 || now.Before(l.closesAt(b)) {
				break
			}
			if summarised[b.Summary()] {
				continue
			}
			for done := false; !done && left > 0; left-- {
				if done, err = l.summariseStep(ctx, b); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// deleteOld deletes the claims of keys older than the retention window.
func (l *Ledger) deleteOld(ctx context.Context, now time.Time) error {
	before := now.Add(-l.settings.Window - 2*l.settings.Skew - l.settings.RunLimit).Truncate(floorStep)
	for shard := range l.settings.Layout.Shards {
		if err := l.raiseTimed(ctx, key.Log{Kind: key.Timed, Shard: shard}, before); err != nil {
			return err
		}
	}
	for shard := range l.settings.Layout.OpaqueShards {
		if err := l.raiseOpaque(ctx, key.Log{Kind: key.Opaque, Shard: shard}, before); err != nil {
			return err
		}
	}
	return nil
}

// raiseTimed raises the floor of a shard to the bucket of a time, and then deletes the
// rows below it. The floor is raised first: from then on, writes on condition of the old
// floor fail, so that no deleted row can be written again.
func (l *Ledger) raiseTimed(ctx context.Context, name key.Log, before time.Time) error {
	floor, err := l.store.floor(ctx, name)
	if err != nil {
		return eris.Wrap(err, "read floor")
	}
	bucket := before.UnixMilli() / l.settings.Layout.ClaimBucket.Milliseconds()
	if bucket > floor.Bucket {
		if err := l.raiseFloor(ctx, name, claim.Floor{Version: floor.Version, Bucket: bucket}); err != nil {
			return err
		}
	}
	name.Bucket = max(bucket, floor.Bucket)
	return l.deleteBelow(ctx, name.ShardPrefix(), name.Prefix())
}

// raiseOpaque raises the floor of an opaque shard above the rows whose entries are all
// older than a time, and deletes these rows.
func (l *Ledger) raiseOpaque(ctx context.Context, name key.Log, before time.Time) error {
	floor, err := l.store.floor(ctx, name)
	if err != nil {
		return eris.Wrap(err, "read floor")
	}
	rows, err := l.oldClaims(ctx, name, before)
	if err != nil {
		return eris.Wrap(err, "read old claims")
	}
	seq := floor.Seq
	for _, row := range rows {
		seq = max(seq, row.Seq+1)
	}
	if seq > floor.Seq {
		if err := l.raiseFloor(ctx, name, claim.Floor{Version: floor.Version, Seq: seq}); err != nil {
			return err
		}
	}
	return l.deleteBelow(ctx, name.Prefix(), name.Row(seq))
}

// oldClaims reads the first rows of an opaque log whose entries are all older than a
// time.
func (l *Ledger) oldClaims(ctx context.Context, name key.Log, before time.Time) ([]claim.StoredRow, error) {
	first, err := l.store.scan(ctx, name.Prefix(), "", 1)
	if err != nil || len(first) == 0 {
		return nil, err
	}
	row, err := storedRow(first[0])
	if err != nil || newest(row.Row) >= before.UnixMilli() {
		return nil, err
	}
	rows, _, err := l.store.claims(ctx, name, 0)
	for i := range rows {
		if newest(rows[i].Row) >= before.UnixMilli() {
			return rows[:i], err
		}
	}
	return rows, err
}

func newest(row claim.Row) int64 {
	var at int64
	for i := range row.Entries {
		at = max(at, row.Entries[i].At)
	}
	return at
}

func (l *Ledger) raiseFloor(ctx context.Context, name key.Log, floor claim.Floor) error {
	value, err := floor.Encode()
	if err != nil {
		return err
	}
	f, _ := l.store.commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: name.Floor(), Version: floor.Version}},
		Writes:     []platform.Write{{Key: name.Floor(), Value: value}},
	})
	if f != fate.Applied {
		return eris.New("floor was not raised: " + f.String())
	}
	return nil
}

// deleteBelow deletes the rows with a prefix that sort before the key end.
func (l *Ledger) deleteBelow(ctx context.Context, prefix, end string) error {
	limit := 1 // usually there is nothing to delete
	for range maxDeleteTxns {
		rows, err := l.store.scan(ctx, prefix, "", limit)
		if err != nil {
			return eris.Wrap(err, "read old rows")
		}
		var txn platform.Txn
		for _, row := range rows {
			if row.Key < end && len(txn.Writes) < maxDeletes {
				txn.Writes = append(txn.Writes, platform.Write{Key: row.Key, Delete: true})
			}
		}
		if len(txn.Writes) == 0 {
			return nil
		}
		if f, _ := l.store.commit(ctx, txn); f != fate.Applied {
			return eris.New("old rows were not deleted: " + f.String())
		}
		limit = scanRows
	}
	return nil
}
