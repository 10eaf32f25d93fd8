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

// Rows of bills stayed in the table for ever. Once settled and old they are moved
// to the object store, and a listing must give the same bills as before. Then a
// process that was paused for days wakes and writes: a row that was moved already,
// which must not be billed again, and one that nobody has, which must be.
func TestOldRowsAreMovedOutOfTheTable(t *testing.T) {
	inBubble(t, 2, func(is *is.I, c *cluster) {
		bucket := fill(is, c, 200)
		rows := c.platform.Dump(bucket.Prefix()).Rows
		is.Equal(len(rows), 10)
		l := c.ledgers["e0"]
		before, err := l.reader.bills(context.Background(), bucket, time.Time{})
		is.NoErr(err)
		time.Sleep(time.Until(l.closes(bucket).Add(47 * time.Hour)))
		is.Equal(len(c.platform.Dump(bucket.Prefix()).Rows), 10)
		time.Sleep(2 * time.Hour)
		is.Equal(len(c.platform.Dump(bucket.Prefix()).Rows), 0)
		read := func() []Bill {
			bills, err := l.reader.bills(context.Background(), bucket, time.Time{})
			is.NoErr(err)
			s, err := l.SettleBucket(context.Background(), bucket)
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

// Rows are moved while somebody reads the bucket: after its first row, all of the
// table's rows go. The reader must find each bill, in a row or in a fold.
func TestReaderFindsRowsThatAreMovedMeanwhile(t *testing.T) {
	inBubble(t, 1, func(is *is.I, c *cluster) {
		bucket := fill(is, c, 5000)
		l := c.ledgers["e0"]
		want, err := l.reader.bills(context.Background(), bucket, time.Time{})
		is.NoErr(err)
		time.Sleep(time.Until(l.closes(bucket).Add(time.Hour)))
		seen := map[string]bool{}
		first := true
		err = l.reader.each(context.Background(), bucket, func(_ source, bills []Bill) error {
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
