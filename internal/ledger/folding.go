package ledger

import (
	"context"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

const (
	// minFold is how many objects of a bucket are worth a fold.
	minFold = 16
	// maxFold bounds the objects of one fold, and maxFoldBills their bills,
	// which take about 35 B each.
	maxFold      = 500
	maxFoldBills = 20_000
	// foldBuckets is how many buckets are looked at in a period. Each costs one
	// read if it has few objects.
	foldBuckets = 12
	// foldAfter is for how long a closed bucket is left alone; most of what is
	// late comes into it meanwhile.
	foldAfter = 5 * time.Minute
)

// foldSome folds the small objects of some buckets of the window, others each
// period, until all had their turn.
func (j *janitor) foldSome(ctx context.Context, now time.Time) error {
	l := j.ledger
	to := now.Add(-foldAfter)
	buckets := l.settings.Layout.Buckets(key.Timed, to.Add(-l.settings.Window), to)
	buckets = buckets[:max(0, len(buckets)-1)] // the last may be open
	turns := int64((len(buckets) + foldBuckets - 1) / foldBuckets)
	// Those of opaque keys are open for a day, which is too long to wait.
	buckets = append(buckets, l.settings.Layout.Buckets(key.Opaque, to.Add(-l.settings.Window), to)...)
	period := now.UnixNano() / int64(l.settings.Janitor)
	for _, b := range buckets {
		if b.Number%turns != period%turns {
			continue
		}
		if err := l.foldBucket(ctx, b); err != nil {
			return err
		}
	}
	return nil
}

// foldBucket folds the objects of a bucket that no fold covers yet. Two nodes
// may do it at one time: their folds hold the same bills.
func (l *Ledger) foldBucket(ctx context.Context, b key.Bucket) error {
	progress, err := l.reader.read.of(ctx, b)
	if err != nil {
		return err
	}
	left, err := l.reader.uncovered(ctx, b, progress)
	progress.release()
	if err != nil {
		return err
	}
	for len(left) >= minFold {
		n, err := l.foldFirst(ctx, b, left)
		if err != nil {
			return err
		}
		left = left[n:]
	}
	return nil
}

// foldFirst folds as many of the objects as fit, and returns how many.
func (l *Ledger) foldFirst(ctx context.Context, b key.Bucket, keys []string) (int, error) {
	var bills []bill.Bill
	n := 0
	for n < min(len(keys), maxFold) && len(bills) < maxFoldBills {
		value, err := l.reader.get(ctx, keys[n])
		if err != nil {
			return 0, err
		}
		more, err := bill.Decode(value)
		if err != nil {
			return 0, eris.Wrap(err, "object "+keys[n])
		}
		bills = append(bills, more...)
		n++
	}
	bills = bill.Distinct(bills)
	fold := bill.Fold{Covers: keys[:n], Bills: bill.Pack(bills)}
	name := b.Fold(l.process, l.folds.Add(1))
	if err := l.store.putFold(ctx, name, &fold); err != nil {
		return 0, eris.Wrap(err, "write fold "+name)
	}
	event.LedgerFolded.Log(l.deps.Log, slog.String("bucket", b.String()), slog.Int("objects", n), slog.Int("bills", len(bills)))
	return n, nil
}
