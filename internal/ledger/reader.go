package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

const (
	// pageBuckets is the maximum number of buckets read for a page, so that a page of a
	// long span without bills ends.
	pageBuckets = 100
	// pageBills is the maximum number of bills in a page.
	pageBills = 2000
	// pageTime is the maximum time to read a page, except for the call in flight.
	pageTime = 5 * time.Second
)

// Bills returns a page of bills selected by time. A page has bills of one bucket. Buckets
// come in order of time, those of keys with a time first. A page also ends after a time
// limit, so it may be empty without being the last. This node keeps what it has read, and
// continues there for the next page. The error is [ErrReading] if a read fails; other
// errors mean that the cursor is invalid or stored bills are malformed.
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
		if errors.Is(err, errPageTimeout) {
			break
		}
		if err != nil {
			return BillPage{}, err
		}
		bills = q.filter(bills)
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

// Totals returns the sum of the selected bills for each organisation, sorted by name. The
// errors are those of Bills.
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

func (q BillQuery) filter(bills []Bill) []Bill {
	selected := bills[:0]
	for _, b := range bills {
		at := timeOf(&b)
		if (q.Org == "" || b.Org == q.Org) && !at.Before(q.From) && at.Before(q.To) {
			selected = append(selected, b)
		}
	}
	return selected
}

// timeOf returns the time by which a bill is selected.
func timeOf(b *Bill) time.Time {
	if at, ok := key.Time(b.Key); ok {
		return at
	}
	return b.At
}
