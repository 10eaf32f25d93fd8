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
	// minCompact is the minimum number of objects in a bucket that are compacted.
	minCompact = 16
	// maxCompact bounds the number of objects compacted into one, and maxCompactBills
	// the number of their bills, which take about 35 bytes each.
	maxCompact      = 500
	maxCompactBills = 20_000
	// compactBuckets is the number of buckets checked in a run. Each costs one read if
	// it has few objects.
	compactBuckets = 12
	// compactAfter is the age from which a bucket is compacted. Most late bills arrive
	// before.
	compactAfter = 5 * time.Minute
)

// compactSome compacts the small objects of some buckets of the retention window. Each
// run takes other buckets, until all had their turn.
func (j *janitor) compactSome(ctx context.Context, now time.Time) error {
	l := j.ledger
	to := now.Add(-compactAfter)
	buckets := l.settings.Layout.Buckets(key.Timed, to.Add(-l.settings.Window), to)
	buckets = buckets[:max(0, len(buckets)-1)] // the last one may not be complete
	turns := int64((len(buckets) + compactBuckets - 1) / compactBuckets)
	// Buckets of opaque keys last a day, so they are compacted before their end.
	buckets = append(buckets, l.settings.Layout.Buckets(key.Opaque, to.Add(-l.settings.Window), to)...)
	period := now.UnixNano() / int64(l.settings.Janitor)
	for _, b := range buckets {
		if b.Number%turns != period%turns {
			continue
		}
		if err := l.compactBucket(ctx, b); err != nil {
			return err
		}
	}
	return nil
}

// compactBucket compacts the objects of a bucket that no compacted object covers yet. Two
// nodes may do it at a time: their compacted objects have the same bills.
func (l *Ledger) compactBucket(ctx context.Context, b key.Bucket) error {
	progress, err := l.reader.progress.acquire(ctx, b)
	if err != nil {
		return err
	}
	left, err := l.reader.uncovered(ctx, b, progress)
	progress.release()
	if err != nil {
		return err
	}
	for len(left) >= minCompact {
		n, err := l.compactFirst(ctx, b, left)
		if err != nil {
			return err
		}
		left = left[n:]
	}
	return nil
}

// compactFirst compacts as many of the objects as the bounds allow, and returns how many.
func (l *Ledger) compactFirst(ctx context.Context, b key.Bucket, keys []string) (int, error) {
	var bills []bill.Bill
	n := 0
	for n < min(len(keys), maxCompact) && len(bills) < maxCompactBills {
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
	object := bill.CompactedObject{Covers: keys[:n], Bills: bill.Pack(bills)}
	name := b.Compacted(l.process, l.lastCompacted.Add(1))
	if err := l.store.putCompacted(ctx, name, &object); err != nil {
		return 0, eris.Wrap(err, "write compacted object "+name)
	}
	event.LedgerFolded.Log(l.deps.Log, slog.String("bucket", b.String()), slog.Int("objects", n), slog.Int("bills", len(bills)))
	return n, nil
}
