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

// errPageOver says that a page's time is up in the middle of a bucket.
var errPageOver = errors.New("the page's time is up")

// billReader reads the bills of buckets, at the pace of its reading.
type billReader struct {
	store   *store
	reading *reading
	window  time.Duration
	read    *readObjects
	closes  func(key.Bucket) time.Time
}

// folded says whether a bucket may have folds: small objects that were folded
// are still there, and rows of the table are folded long after it has closed.
func (r *billReader) folded(b key.Bucket, objects int) bool {
	return objects >= minFold || !time.Now().Before(r.closes(b))
}

func newBillReader(s *store, settings Settings) *billReader {
	return &billReader{store: s, reading: newReading(settings.BillReadsPerSecond), window: settings.Window, read: newReadObjects(), closes: settings.closes}
}

// bills reads the bills of a bucket, each once. The error is errPageOver if that
// takes until after the time, unless it is zero; the next call goes on from there.
func (r *billReader) bills(ctx context.Context, b key.Bucket, until time.Time) ([]bill.Bill, error) {
	all, err := r.raw(ctx, b, until)
	if err != nil {
		return nil, err
	}
	if b.Kind == key.Timed {
		return bill.Merge(all, r.window), nil
	}
	// A repetition of an opaque key may stand in the bucket before.
	before, err := r.raw(ctx, b.Previous(), until)
	if err != nil {
		return nil, err
	}
	merged := bill.Merge(append(before, all...), r.window)
	return of(b, merged), nil
}

// of keeps the bills of an opaque bucket.
func of(b key.Bucket, bills []bill.Bill) []bill.Bill {
	var kept []bill.Bill
	for _, one := range bills {
		if (key.Layout{}).Bill(one.Key, one.At) == b {
			kept = append(kept, one)
		}
	}
	return kept
}

// raw reads all rows and objects of a bucket.
func (r *billReader) raw(ctx context.Context, b key.Bucket, until time.Time) ([]bill.Bill, error) {
	// The table first: rows that are folded and deleted meanwhile are found in
	// their folds.
	fromTable, err := r.table(ctx, b)
	if err != nil {
		return nil, err
	}
	fromObjects, err := r.objects(ctx, b, until)
	return append(fromTable, fromObjects...), err
}

func (r *billReader) table(ctx context.Context, b key.Bucket) ([]bill.Bill, error) {
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

// objects reads the bills among a bucket's objects: those of its folds, and
// those of the objects that no fold covers.
func (r *billReader) objects(ctx context.Context, b key.Bucket, until time.Time) ([]bill.Bill, error) {
	progress, err := r.read.of(ctx, b)
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
			return nil, errPageOver
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
	r.read.done(b)
	return all, nil
}

// uncovered lists the objects of a bucket that no fold covers, and reads the
// folds.
func (r *billReader) uncovered(ctx context.Context, b key.Bucket, progress *bucketObjects) ([]string, error) {
	keys, err := r.list(ctx, b.Prefix())
	if err != nil || !r.folded(b, len(keys)) {
		return keys, err
	}
	folds, err := r.list(ctx, b.FoldPrefix())
	if err != nil {
		return nil, err
	}
	for _, k := range folds {
		if progress.folds[k] {
			continue
		}
		value, err := r.get(ctx, k)
		if err != nil {
			return nil, err
		}
		if err := progress.take(k, value); err != nil {
			return nil, err
		}
	}
	return progress.without(keys), nil
}

func (r *billReader) scan(ctx context.Context, prefix, after string) (rows []platform.Row, err error) {
	err = r.reading.try(ctx, func(ctx context.Context) error {
		rows, err = r.store.scan(ctx, prefix, after, scanRows)
		return err
	})
	return rows, err
}

func (r *billReader) list(ctx context.Context, prefix string) (keys []string, err error) {
	err = r.reading.try(ctx, func(ctx context.Context) error {
		keys, err = r.store.listObjects(ctx, prefix)
		return err
	})
	return keys, eris.Wrap(err, "list bills among the objects")
}

// get reads an object that was listed. None is ever deleted.
func (r *billReader) get(ctx context.Context, k string) (value []byte, err error) {
	var ok bool
	err = r.reading.try(ctx, func(ctx context.Context) error {
		value, ok, err = r.store.getObject(ctx, k)
		return err
	})
	if err == nil && !ok {
		err = eris.New("it was listed and is not there")
	}
	return value, eris.Wrap(err, "get bills from "+k)
}
