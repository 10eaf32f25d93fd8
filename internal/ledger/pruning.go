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

// maxPruneTxns bounds the transactions that move rows in one run, each of up to scanRows
// rows.
const maxPruneTxns = 100

// prune moves the rows of summarised buckets from the table to compacted objects, oldest
// first. The bills remain readable there, and the table only has the rows of a few days.
func (j *janitor) prune(ctx context.Context, now time.Time) error {
	for _, kind := range []key.Kind{key.Timed, key.Opaque} {
		more := true
		for n := 0; more && n < maxPruneTxns; n++ {
			var err error
			if more, err = j.ledger.pruneOldest(ctx, kind, now); err != nil {
				return err
			}
		}
	}
	return nil
}

// pruneOldest compacts and deletes the oldest rows of a kind, if they are old enough. More
// means that there may be further rows.
//
// A row is deleted only after its bills were put in a compacted object, and readers read
// the table before they list compacted objects. So each reader finds the row or the
// compacted object. Late writers are safe, too. If one writes a deleted row again, its
// bills are duplicates of those in the compacted object. Any other late row stays until it
// is compacted itself. The deletion fails if the bucket was summarised again in the
// meantime.
func (l *Ledger) pruneOldest(ctx context.Context, kind key.Kind, now time.Time) (more bool, err error) {
	rows, err := l.reader.scan(ctx, key.BillsPrefix(kind), "")
	if err != nil || len(rows) == 0 {
		return false, err
	}
	b, err := key.BucketOfRow(rows[0].Key)
	if err != nil || now.Before(l.closesAt(b).Add(l.settings.PruneAfter)) {
		return false, err
	}
	summary, err := l.store.get(ctx, b.Summary())
	if err != nil {
		return false, eris.Wrap(err, "read summary")
	}
	if summary.Version == 0 {
		_, err := l.summariseStep(ctx, b)
		return true, err
	}
	return true, l.pruneRows(ctx, b, summary.Version, rows)
}

// pruneRows compacts and deletes those of the first rows that belong to a bucket.
func (l *Ledger) pruneRows(ctx context.Context, b key.Bucket, summary uint64, rows []platform.Row) error {
	txn := platform.Txn{Conditions: []platform.Condition{{Key: b.Summary(), Version: summary}}}
	var object bill.CompactedObject
	var bills []bill.Bill
	for _, row := range rows {
		if of, err := key.BucketOfRow(row.Key); err != nil || of != b || len(bills) >= maxCompactBills {
			break
		}
		more, err := decodeRow(row)
		if err != nil {
			return err
		}
		bills = append(bills, more...)
		object.Covers = append(object.Covers, row.Key)
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, platform.Write{Key: row.Key, Delete: true})
	}
	object.Bills = bill.Pack(bill.Distinct(bills))
	name := b.Compacted(l.process, l.lastCompacted.Add(1))
	if err := l.store.putCompacted(ctx, name, &object); err != nil {
		return eris.Wrap(err, "write compacted object "+name)
	}
	if f, _ := l.store.commit(ctx, txn); f != fate.Applied {
		return eris.New("compacted rows were not deleted: " + f.String())
	}
	event.LedgerPruned.Log(l.deps.Log, slog.String("bucket", b.String()), slog.Int("rows", len(object.Covers)))
	return nil
}
