package ledger

import (
	"context"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/fate"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// maxPrune bounds the folds of rows in one period, each of up to 200 rows.
const maxPrune = 100

// prune moves the rows of settled buckets out of the table, the oldest first.
// They go into folds, where readers find them; so bills are kept, and the table
// keeps a few days of rows.
func (j *janitor) prune(ctx context.Context, now time.Time) error {
	for _, kind := range []key.Kind{key.Timed, key.Opaque} {
		more := true
		for n := 0; more && n < maxPrune; n++ {
			var err error
			if more, err = j.ledger.pruneOldest(ctx, kind, now); err != nil {
				return err
			}
		}
	}
	return nil
}

// pruneOldest folds and deletes the oldest rows of a kind, if their time has
// come.
//
// A row is deleted only after a fold that has its bills was put, and readers read
// the table before they list the folds: so each finds a row or its fold. A writer
// that comes late needs no care. A row that it makes anew, which was deleted, has
// bills that the fold has too, and they are one; any other row is there until it
// is folded itself. The deletion fails if the bucket was settled anew meanwhile.
func (l *Ledger) pruneOldest(ctx context.Context, kind key.Kind, now time.Time) (more bool, err error) {
	rows, err := l.reader.scan(ctx, key.BillsPrefix(kind), "")
	if err != nil || len(rows) == 0 {
		return false, err
	}
	b, err := key.BucketOfRow(rows[0].Key)
	if err != nil || now.Before(l.closes(b).Add(l.settings.PruneAfter)) {
		return false, err
	}
	summary, err := l.store.get(ctx, b.Summary())
	if err != nil {
		return false, eris.Wrap(err, "read summary")
	}
	if summary.Version == 0 {
		_, err := l.settleStep(ctx, b)
		return true, err
	}
	return true, l.pruneRows(ctx, b, summary.Version, rows)
}

// pruneRows folds and deletes the first of some rows that are of a bucket.
func (l *Ledger) pruneRows(ctx context.Context, b key.Bucket, summary uint64, rows []platform.Row) error {
	txn := platform.Txn{Conditions: []platform.Condition{{Key: b.Summary(), Version: summary}}}
	var fold bill.Fold
	var bills []bill.Bill
	for _, row := range rows {
		if of, err := key.BucketOfRow(row.Key); err != nil || of != b || len(bills) >= maxFoldBills {
			break
		}
		more, err := decodeRow(row)
		if err != nil {
			return err
		}
		bills = append(bills, more...)
		fold.Covers = append(fold.Covers, row.Key)
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, platform.Write{Key: row.Key, Delete: true})
	}
	fold.Bills = bill.Pack(bill.Distinct(bills))
	name := b.Fold(l.process, l.folds.Add(1))
	if err := l.store.putFold(ctx, name, &fold); err != nil {
		return eris.Wrap(err, "write fold "+name)
	}
	if f, _ := l.store.commit(ctx, txn); f != fate.Applied {
		return eris.New("folded rows were not deleted: " + f.String())
	}
	event.LedgerPruned.Log(l.deps.Log, slog.String("bucket", b.String()), slog.Int("rows", len(fold.Covers)))
	return nil
}
