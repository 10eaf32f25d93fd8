package ledger

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// source identifies a row or object with bills.
type source struct {
	name string
	kind sourceKind
}

// sourceKind is where the bills of a source are stored.
type sourceKind uint8

const (
	tableRow sourceKind = iota
	smallObject
	compactedObject
)

// forEach passes the rows of a bucket to a function, one after the other: those of the
// table, the compacted objects, and the objects that these do not cover. At most one scan
// of rows is in memory. The table comes first, so that rows which are compacted and
// deleted in the meantime are found in compacted objects.
func (r *billReader) forEach(ctx context.Context, b key.Bucket, visit func(source, []bill.Bill) error) error {
	if err := r.forEachRow(ctx, b, visit); err != nil {
		return err
	}
	keys, err := r.list(ctx, b.Prefix())
	if err != nil {
		return err
	}
	covered, err := r.forEachCompacted(ctx, b, len(keys), visit)
	if err != nil {
		return err
	}
	for _, k := range keys {
		if covered[k] {
			continue
		}
		if err := r.readOne(ctx, source{k, smallObject}, visit); err != nil {
			return err
		}
	}
	return nil
}

func (r *billReader) forEachRow(ctx context.Context, b key.Bucket, visit func(source, []bill.Bill) error) error {
	after := ""
	for {
		rows, err := r.scan(ctx, b.Prefix(), after)
		if err != nil {
			return eris.Wrap(err, "scan bills")
		}
		for _, row := range rows {
			bills, err := decodeRow(row)
			if err != nil {
				return err
			}
			if err := visit(source{row.Key, tableRow}, bills); err != nil {
				return err
			}
		}
		if len(rows) < scanRows {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

func decodeRow(row platform.Row) ([]bill.Bill, error) {
	bills, err := bill.Decode(row.Value)
	return bills, eris.Wrap(err, "row "+row.Key)
}

// forEachCompacted passes the bills of each compacted object of a bucket to a function,
// and returns the keys of the objects and rows that they cover.
func (r *billReader) forEachCompacted(ctx context.Context, b key.Bucket, objects int, visit func(source, []bill.Bill) error) (map[string]bool, error) {
	if !r.mayBeCompacted(b, objects) {
		return nil, nil
	}
	covered := map[string]bool{}
	compactedKeys, err := r.list(ctx, b.CompactedPrefix())
	if err != nil {
		return nil, err
	}
	for _, k := range compactedKeys {
		f, err := r.getCompacted(ctx, k)
		if err != nil {
			return nil, err
		}
		for _, c := range f.Covers {
			covered[c] = true
		}
		bills, err := f.Bills.Unpack()
		if err != nil {
			return nil, eris.Wrap(err, "fold "+k)
		}
		if err := visit(source{k, compactedObject}, bills); err != nil {
			return nil, err
		}
	}
	return covered, nil
}

func (r *billReader) getCompacted(ctx context.Context, k string) (bill.CompactedObject, error) {
	value, err := r.get(ctx, k)
	if err != nil {
		return bill.CompactedObject{}, err
	}
	f, err := bill.DecodeCompactedObject(value)
	return f, eris.Wrap(err, "fold "+k)
}

func (r *billReader) readOne(ctx context.Context, from source, visit func(source, []bill.Bill) error) error {
	bills, err := r.readSource(ctx, from)
	if err != nil {
		return err
	}
	return visit(from, bills)
}

// read reads the bills of one source.
func (r *billReader) readSource(ctx context.Context, from source) ([]bill.Bill, error) {
	switch from.kind {
	case tableRow:
		return r.readRow(ctx, from.name)
	case compactedObject:
		f, err := r.getCompacted(ctx, from.name)
		if err != nil {
			return nil, err
		}
		return f.Bills.Unpack()
	default:
		value, err := r.get(ctx, from.name)
		if err != nil {
			return nil, err
		}
		bills, err := bill.Decode(value)
		return bills, eris.Wrap(err, "object "+from.name)
	}
}

// errRowMoved means that a row was moved from the table to a compacted object after it
// was first read.
var errRowMoved = eris.New("a row was moved meanwhile")

// fewRows is the maximum number of rows that are read one by one. For more rows, it is
// cheaper to scan the whole bucket.
const fewRows = 200

// reread reads some rows of a bucket again. The error is errRowMoved if one of them no
// longer exists.
func (r *billReader) reread(ctx context.Context, b key.Bucket, wanted map[source]struct{}, visit func([]bill.Bill)) error {
	left := len(wanted)
	one := func(from source, bills []bill.Bill) error {
		if _, ok := wanted[from]; ok {
			left--
			visit(bills)
		}
		return nil
	}
	if left > fewRows {
		if err := r.forEach(ctx, b, one); err != nil {
			return err
		}
	} else {
		for from := range wanted {
			if err := r.readOne(ctx, from, one); err != nil {
				return err
			}
		}
	}
	if left > 0 {
		return errRowMoved
	}
	return nil
}

func (r *billReader) readRow(ctx context.Context, name string) ([]bill.Bill, error) {
	var row platform.Row
	err := r.limiter.do(ctx, func(ctx context.Context) error {
		var err error
		row, err = r.store.get(ctx, name)
		return err
	})
	if err == nil && row.Version == 0 {
		err = errRowMoved
	}
	if err != nil {
		return nil, eris.Wrap(err, "read "+name)
	}
	return decodeRow(row)
}
