package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// errPageTimeout means that the time for a page ended in the middle of a bucket.
var errPageTimeout = errors.New("the page's time is up")

// billReader reads the bills of buckets, at a limited rate.
type billReader struct {
	store    *store
	limiter  *readLimiter
	window   time.Duration
	progress *readCache
	closesAt func(key.Bucket) time.Time
}

// mayBeCompacted reports whether a bucket may have compacted objects, given its number of
// objects. Small objects remain after their compaction, and rows of the table are only
// compacted after the bucket has closed.
func (r *billReader) mayBeCompacted(b key.Bucket, objects int) bool {
	return objects >= minCompact || !time.Now().Before(r.closesAt(b))
}

func newBillReader(s *store, settings Settings) *billReader {
	return &billReader{store: s, limiter: newReadLimiter(settings.BillReadsPerSecond), window: settings.Window, progress: newReadCache(), closesAt: settings.closesAt}
}

// bills reads the bills of a bucket without duplicates. The error is errPageTimeout if that
// takes longer than until the given time, unless it is zero. The next call then continues
// where this one stopped.
func (r *billReader) bills(ctx context.Context, b key.Bucket, until time.Time) ([]bill.Bill, error) {
	all, err := r.readAll(ctx, b, until)
	if err != nil {
		return nil, err
	}
	if b.Kind == key.Timed {
		return bill.Merge(all, r.window), nil
	}
	// The previous bucket may have earlier bills of the same opaque keys.
	before, err := r.readAll(ctx, b.Previous(), until)
	if err != nil {
		return nil, err
	}
	merged := bill.Merge(append(before, all...), r.window)
	return inBucket(b, merged), nil
}

// inBucket returns the bills that belong to an opaque bucket.
func inBucket(b key.Bucket, bills []bill.Bill) []bill.Bill {
	var kept []bill.Bill
	for _, one := range bills {
		if (key.Layout{}).Bill(one.Key, one.At) == b {
			kept = append(kept, one)
		}
	}
	return kept
}

// readAll reads all rows and objects of a bucket, with duplicates.
func (r *billReader) readAll(ctx context.Context, b key.Bucket, until time.Time) ([]bill.Bill, error) {
	// The table is read first, so that rows which are compacted and deleted in the
	// meantime are found in compacted objects.
	fromTable, err := r.tableBills(ctx, b)
	if err != nil {
		return nil, err
	}
	fromObjects, err := r.objectBills(ctx, b, until)
	return append(fromTable, fromObjects...), err
}

func (r *billReader) tableBills(ctx context.Context, b key.Bucket) ([]bill.Bill, error) {
	var all []bill.Bill
	after := ""
	for {
		rows, err := r.scan(ctx, b.Prefix(), after)
		if err != nil {
			return nil, eris.Wrap(err, "scan bills")
		}
		for _, row := range rows {
			bills, err := bill.Decode(row.Value)
			if err != nil {
				return nil, eris.Wrap(err, "row "+row.Key)
			}
			all = append(all, bills...)
		}
		if len(rows) < scanRows {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// objectBills reads the bills in a bucket's objects: the compacted objects, and the
// objects that these do not cover.
func (r *billReader) objectBills(ctx context.Context, b key.Bucket, until time.Time) ([]bill.Bill, error) {
	progress, err := r.progress.acquire(ctx, b)
	if err != nil {
		return nil, err
	}
	defer progress.release()
	keys, err := r.uncovered(ctx, b, progress)
	if err != nil {
		return nil, err
	}
	for _, k := range keys {
		if _, ok := progress.bills[k]; ok {
			continue
		}
		if !until.IsZero() && time.Now().After(until) {
			return nil, errPageTimeout
		}
		value, err := r.get(ctx, k)
		if err != nil {
			return nil, err
		}
		bills, err := bill.Decode(value)
		if err != nil {
			return nil, eris.Wrap(err, "object "+k)
		}
		progress.bills[k] = bills
	}
	all := progress.all()
	r.progress.forget(b)
	return all, nil
}

// uncovered lists the objects of a bucket that no compacted object covers. It adds the
// compacted objects to the progress.
func (r *billReader) uncovered(ctx context.Context, b key.Bucket, progress *bucketProgress) ([]string, error) {
	keys, err := r.list(ctx, b.Prefix())
	if err != nil || !r.mayBeCompacted(b, len(keys)) {
		return keys, err
	}
	compacted, err := r.list(ctx, b.CompactedPrefix())
	if err != nil {
		return nil, err
	}
	for _, k := range compacted {
		if progress.compacted[k] {
			continue
		}
		value, err := r.get(ctx, k)
		if err != nil {
			return nil, err
		}
		if err := progress.addCompacted(k, value); err != nil {
			return nil, err
		}
	}
	return progress.uncovered(keys), nil
}

func (r *billReader) scan(ctx context.Context, prefix, after string) (rows []platform.Row, err error) {
	err = r.limiter.do(ctx, func(ctx context.Context) error {
		rows, err = r.store.scan(ctx, prefix, after, scanRows)
		return err
	})
	return rows, err
}

func (r *billReader) list(ctx context.Context, prefix string) (keys []string, err error) {
	err = r.limiter.do(ctx, func(ctx context.Context) error {
		keys, err = r.store.listObjects(ctx, prefix)
		return err
	})
	return keys, eris.Wrap(err, "list bills among the objects")
}

// get reads an object that was listed. The error if it is missing is a fault of the store,
// as objects are never deleted.
func (r *billReader) get(ctx context.Context, k string) (value []byte, err error) {
	var ok bool
	err = r.limiter.do(ctx, func(ctx context.Context) error {
		value, ok, err = r.store.getObject(ctx, k)
		return err
	})
	if err == nil && !ok {
		err = eris.New("it was listed and is not there")
	}
	return value, eris.Wrap(err, "get bills from "+k)
}
