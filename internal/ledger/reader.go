package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

const (
	// pageBuckets is how many buckets one page looks through at most, so that
	// a long span without bills does not read for ever.
	pageBuckets = 100
	// pageBills is the most bills in a page.
	pageBills = 2000
	// pageTime is how long a page reads.
	pageTime = 5 * time.Second
)

// Bills returns bills by their time. A page holds bills of one bucket; buckets
// come in order of time, first those of keys that carry one. A page ends after a
// while, then it may be empty and not the last: this node remembers what it has
// read, so that the next one goes on from there. The error is [ErrReading].
func (l *Ledger) Bills(ctx context.Context, q BillQuery) (BillPage, error) {
	buckets := l.buckets(q)
	at, err := parseCursor(q.Cursor)
	if err != nil {
		return BillPage{}, err
	}
	until := time.Now().Add(pageTime)
	for n := 0; at.bucket < len(buckets) && n < pageBuckets; n++ {
		if time.Now().After(until) {
			break
		}
		bills, err := l.reader.bills(ctx, buckets[at.bucket], until)
		if errors.Is(err, errPageOver) {
			break
		}
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
