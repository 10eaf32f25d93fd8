package ledger

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

const (
	// pageBuckets is how many buckets one page looks through at most, so that
	// a long span without bills does not read for ever.
	pageBuckets = 100
	// pageBills is the most bills in a page.
	pageBills = 2000
)

// Bills returns bills by their time. A page holds bills of one bucket; buckets
// come in order of time, first those of keys that carry one.
func (l *Ledger) Bills(ctx context.Context, q BillQuery) (BillPage, error) {
	buckets := l.buckets(q)
	at, err := parseCursor(q.Cursor)
	if err != nil {
		return BillPage{}, err
	}
	for n := 0; at.bucket < len(buckets) && n < pageBuckets; n++ {
		bills, err := l.store.bills(ctx, buckets[at.bucket], l.settings.Window)
		if err != nil {
			return BillPage{}, err
		}
		bills = q.fitting(bills)
		bills = bills[min(at.offset, len(bills)):]
		if len(bills) > pageBills {
			at.offset += pageBills
			return BillPage{Bills: bills[:pageBills], Next: at.String()}, nil
		}
		at = cursor{bucket: at.bucket + 1}
		if len(bills) > 0 {
			return BillPage{Bills: bills, Next: at.next(len(buckets))}, nil
		}
	}
	return BillPage{Next: at.next(len(buckets))}, nil
}

// Totals returns what each organisation has to pay, in order of their names.
func (l *Ledger) Totals(ctx context.Context, q BillQuery) ([]Total, error) {
	sum := newTotals()
	for {
		page, err := l.Bills(ctx, q)
		if err != nil {
			return nil, err
		}
		sum.add(page.Bills)
		if page.Next == "" {
			return sum.list(), nil
		}
		q.Cursor = page.Next
	}
}

func (l *Ledger) buckets(q BillQuery) []key.Bucket {
	if !q.From.Before(q.To) {
		return nil
	}
	all := l.settings.Layout.Buckets(key.Timed, q.From, q.To)
	return append(all, l.settings.Layout.Buckets(key.Opaque, q.From, q.To)...)
}

func (q BillQuery) fitting(bills []Bill) []Bill {
	fit := bills[:0]
	for _, b := range bills {
		at := timeOf(&b)
		if (q.Org == "" || b.Org == q.Org) && !at.Before(q.From) && at.Before(q.To) {
			fit = append(fit, b)
		}
	}
	return fit
}

// timeOf is the time that a bill belongs to.
func timeOf(b *Bill) time.Time {
	if at, ok := key.Time(b.Key); ok {
		return at
	}
	return b.At
}

// bills reads the bills of a bucket, each once.
func (s *store) bills(ctx context.Context, b key.Bucket, window time.Duration) ([]bill.Bill, error) {
	all, err := s.rawBills(ctx, b)
	if err != nil {
		return nil, err
	}
	if b.Kind == key.Timed {
		return bill.Merge(all, window), nil
	}
	// A repetition of an opaque key may stand in the bucket before.
	before, err := s.rawBills(ctx, b.Previous())
	if err != nil {
		return nil, err
	}
	merged := bill.Merge(append(before, all...), window)
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

// rawBills reads all rows and objects of a bucket.
func (s *store) rawBills(ctx context.Context, b key.Bucket) ([]bill.Bill, error) {
	all, err := s.tableBills(ctx, b)
	if err != nil {
		return nil, err
	}
	keys, err := s.objects.List(ctx, b.Prefix())
	if err != nil {
		return nil, eris.Wrap(err, "list bills among the objects")
	}
	for _, k := range keys {
		value, ok, err := s.objects.Get(ctx, k)
		if err != nil || !ok {
			return nil, eris.Wrap(err, "get bills from "+k)
		}
		bills, err := bill.Decode(value)
		if err != nil {
			return nil, eris.Wrap(err, "object "+k)
		}
		all = append(all, bills...)
	}
	return all, nil
}

func (s *store) tableBills(ctx context.Context, b key.Bucket) ([]bill.Bill, error) {
	var all []bill.Bill
	after := ""
	for {
		rows, err := s.scan(ctx, b.Prefix(), after, scanRows)
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
