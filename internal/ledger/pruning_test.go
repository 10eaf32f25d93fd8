package ledger

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// Old rows of summarised buckets are moved to the object store, or the table would grow
// without limit. A listing must return the same bills as before. Then a process that was
// paused for days writes two rows: one that was already moved, whose bills must not count
// again, and a new one, whose bills must.
func TestOldRowsAreMovedOutOfTheTable(t *testing.T) {
	inBubble(t, 2, func(is *is.I, c *cluster) {
		bucket := fillBucket(is, c, 200)
		rows := c.platform.Dump(bucket.Prefix()).Rows
		is.Equal(len(rows), 10)
		l := c.ledgers["e0"]
		before, err := l.reader.bills(context.Background(), bucket, time.Time{})
		is.NoErr(err)
		time.Sleep(time.Until(l.closesAt(bucket).Add(47 * time.Hour)))
		is.Equal(len(c.platform.Dump(bucket.Prefix()).Rows), 10)
		time.Sleep(2 * time.Hour)
		is.Equal(len(c.platform.Dump(bucket.Prefix()).Rows), 0)
		read := func() []Bill {
			bills, err := l.reader.bills(context.Background(), bucket, time.Time{})
			is.NoErr(err)
			s, err := l.SummariseBucket(context.Background(), bucket)
			is.NoErr(err)
			sum := newTotals()
			sum.add(bills)
			is.Equal(s.Totals, sum.list())
			return bills
		}
		is.Equal(read(), before)

		_, err = c.table.Commit(context.Background(), platform.Txn{
			Conditions: []platform.Condition{{Key: rows[0].Key}}, Writes: []platform.Write{{Key: rows[0].Key, Value: rows[0].Value}},
		})
		is.NoErr(err)
		is.Equal(read(), before)
		from, _ := c.settings.Layout.Span(bucket)
		late := Bill{Org: "org0", Key: keyAt(from), Cost: 5, At: from}
		_, err = l.store.createBills(context.Background(), bill.Row{Bucket: bucket, Writer: "late", Bills: bill.Pack([]Bill{late})})
		is.NoErr(err)
		is.Equal(len(read()), len(before)+1)
		time.Sleep(5 * time.Minute)
		is.Equal(len(c.platform.Dump(bucket.Prefix()).Rows), 0)
		is.Equal(len(read()), len(before)+1)
	})
}

// All rows are moved out of the table after a reader has read the first one. The reader
// must find each bill in a row or in a compacted object.
func TestReaderFindsRowsThatAreMovedWhileItReads(t *testing.T) {
	inBubble(t, 1, func(is *is.I, c *cluster) {
		bucket := fillBucket(is, c, 5000)
		l := c.ledgers["e0"]
		want, err := l.reader.bills(context.Background(), bucket, time.Time{})
		is.NoErr(err)
		time.Sleep(time.Until(l.closesAt(bucket).Add(time.Hour)))
		seen := map[string]bool{}
		first := true
		err = l.reader.forEach(context.Background(), bucket, func(_ source, bills []Bill) error {
			for first {
				more, err := l.pruneOldest(context.Background(), key.Timed, time.Now().Add(l.settings.PruneAfter))
				is.NoErr(err)
				first = more
			}
			for _, b := range bills {
				seen[b.Key] = true
			}
			return nil
		})
		is.NoErr(err)
		is.Equal(len(c.platform.Dump(bucket.Prefix()).Rows), 0)
		is.Equal(len(seen), len(want))
	})
}
