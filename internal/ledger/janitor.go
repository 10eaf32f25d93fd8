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
	// floorStep is how far a floor moves at least. Each move makes the next
	// write of every batcher of the shard fail once.
	floorStep = time.Hour
	// maxDeletes bounds the rows deleted in one transaction.
	maxDeletes = 500
	// maxTidy bounds the transactions of one shard in one period.
	maxTidy = 20
	// settleBack is how far back closed buckets are looked at for settling.
	settleBack = 48 * time.Hour
	// maxSettle bounds the buckets, or parts of them, settled in one period.
	maxSettle = 20
)

// janitor is the duty that deletes claims older than the window, settles closed
// buckets, folds small objects and moves old bills out of the table. It falls on
// one node a period; two at a time are harmless.
type janitor struct{ ledger *Ledger }

func newJanitor(l *Ledger) *janitor { return &janitor{ledger: l} }

// run is the duty.
func (j *janitor) run(ctx context.Context) {
	every := j.ledger.settings.Janitor
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if j.ledger.route.janitor(now, now.UnixNano()/int64(every)) {
				j.tidy(ctx, now)
			}
		}
	}
}

func (j *janitor) tidy(ctx context.Context, now time.Time) {
	err := j.ledger.deleteOld(ctx, now)
	if err == nil {
		err = j.settle(ctx, now)
	}
	if err == nil {
		err = j.foldSome(ctx, now)
	}
	if err == nil {
		err = j.prune(ctx, now)
	}
	if err != nil && ctx.Err() == nil {
		event.LedgerJanitorLate.Log(j.ledger.deps.Log, slog.Any("error", err))
	}
}

// settle settles the closed buckets that have no summary yet.
func (j *janitor) settle(ctx context.Context, now time.Time) error {
	l := j.ledger
	left := maxSettle
	for _, kind := range []key.Kind{key.Timed, key.Opaque} {
		to := now.Add(-l.settings.Window)
		buckets := l.settings.Layout.Buckets(kind, to.Add(-settleBack), to)
		settled, err := l.store.summaries(ctx, buckets[0])
		if err != nil {
			return err
		}
		for _, b := range buckets {
			if left == 0 || now.Before(l.closes(b)) {
				break
			}
			if settled[b.Summary()] {
				continue
			}
			for done := false; !done && left > 0; left-- {
				if done, err = l.settleStep(ctx, b); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// deleteOld deletes the claims of keys that are older than the window.
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

// raiseTimed moves the floor of a shard to a bucket, and then deletes the rows
// below it. The floor goes first: a write under the old one fails from then
// on, so that no row can come back after it was deleted.
func (l *Ledger) raiseTimed(ctx context.Context, name key.Log, before time.Time) error {
	floor, err := l.store.floor(ctx, name)
	if err != nil {
		return eris.Wrap(err, "read floor")
	}
	bucket := before.UnixMilli() / l.settings.Layout.ClaimBucket.Milliseconds()
	if bucket > floor.Bucket {
		if err := l.raise(ctx, name, claim.Floor{Version: floor.Version, Bucket: bucket}); err != nil {
			return err
		}
	}
	name.Bucket = max(bucket, floor.Bucket)
	return l.deleteBelow(ctx, name.ShardPrefix(), name.Prefix())
}

// raiseOpaque moves the floor of an opaque shard over the rows that are wholly
// older than a time, and deletes them.
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
		if err := l.raise(ctx, name, claim.Floor{Version: floor.Version, Seq: seq}); err != nil {
			return err
		}
	}
	return l.deleteBelow(ctx, name.Prefix(), name.Row(seq))
}

// oldClaims reads the first rows of an opaque log that are wholly older than a
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

func (l *Ledger) raise(ctx context.Context, name key.Log, floor claim.Floor) error {
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

// deleteBelow deletes rows that sort before a key.
func (l *Ledger) deleteBelow(ctx context.Context, prefix, end string) error {
	limit := 1 // most of the time there is nothing to delete
	for range maxTidy {
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
