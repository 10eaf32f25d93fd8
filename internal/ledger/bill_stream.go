package ledger

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// source says where a row of bills is.
type source struct {
	name string
	kind sourceKind
}

type sourceKind uint8

const (
	tableRow sourceKind = iota
	smallObject
	foldObject
)

// each hands over the rows of a bucket one after the other: those of the table,
// the folds, and the objects that no fold covers. No more than a page of rows is
// in memory. The table comes first: rows that are folded and deleted meanwhile
// are found in their folds.
func (r *billReader) each(ctx context.Context, b key.Bucket, take func(source, []bill.Bill) error) error {
	if err := r.eachRow(ctx, b, take); err != nil {
		return err
	}
	keys, err := r.list(ctx, b.Prefix())
	if err != nil {
		return err
	}
	covered, err := r.eachFold(ctx, b, len(keys), take)
	if err != nil {
		return err
	}
	for _, k := range keys {
		if covered[k] {
			continue
		}
		if err := r.one(ctx, source{k, smallObject}, take); err != nil {
			return err
		}
	}
	return nil
}

func (r *billReader) eachRow(ctx context.Context, b key.Bucket, take func(source, []bill.Bill) error) error {
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
			if err := take(source{row.Key, tableRow}, bills); err != nil {
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

// eachFold returns the objects that the folds cover.
func (r *billReader) eachFold(ctx context.Context, b key.Bucket, objects int, take func(source, []bill.Bill) error) (map[string]bool, error) {
	if !r.folded(b, objects) {
		return nil, nil
	}
	covered := map[string]bool{}
	folds, err := r.list(ctx, b.FoldPrefix())
	if err != nil {
		return nil, err
	}
	for _, k := range folds {
		f, err := r.fold(ctx, k)
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
		if err := take(source{k, foldObject}, bills); err != nil {
			return nil, err
		}
	}
	return covered, nil
}

func (r *billReader) fold(ctx context.Context, k string) (bill.Fold, error) {
	value, err := r.get(ctx, k)
	if err != nil {
		return bill.Fold{}, err
	}
	f, err := bill.DecodeFold(value)
	return f, eris.Wrap(err, "fold "+k)
}

func (r *billReader) one(ctx context.Context, from source, take func(source, []bill.Bill) error) error {
	bills, err := r.again(ctx, from)
	if err != nil {
		return err
	}
	return take(from, bills)
}

// again reads one row of bills.
func (r *billReader) again(ctx context.Context, from source) ([]bill.Bill, error) {
	switch from.kind {
	case tableRow:
		return r.row(ctx, from.name)
	case foldObject:
		f, err := r.fold(ctx, from.name)
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

// errRowMoved says that a row of the table was moved into a fold since it was read.
var errRowMoved = eris.New("a row was moved meanwhile")

// fewRows are read one by one; more take less if all are gone through.
const fewRows = 200

// rows reads some rows of a bucket again.
func (r *billReader) rows(ctx context.Context, b key.Bucket, some map[source]struct{}, take func([]bill.Bill)) error {
	left := len(some)
	one := func(from source, bills []bill.Bill) error {
		if _, ok := some[from]; ok {
			left--
			take(bills)
		}
		return nil
	}
	if left > fewRows {
		if err := r.each(ctx, b, one); err != nil {
			return err
		}
	} else {
		for from := range some {
			if err := r.one(ctx, from, one); err != nil {
				return err
			}
		}
	}
	if left > 0 {
		return errRowMoved
	}
	return nil
}

func (r *billReader) row(ctx context.Context, name string) ([]bill.Bill, error) {
	var row platform.Row
	err := r.reading.try(ctx, func(ctx context.Context) error {
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
