package ledger

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/ledger/claim"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
)

// Claims older than the retention window must be deleted, or the table would grow without
// limit. An opaque key must not be granted again before that.
func TestOldClaimsAreDeleted(t *testing.T) {
	inBubble(t, 2, func(is *is.I, c *cluster) {
		claimAs := func(id, k string) claim.State {
			r, err := claimIn(c.ledgers[id], 5*time.Second, claimOf(k, uuid.NewString(), "body"))
			is.NoErr(err)
			return r.State
		}
		timed := newKey()
		is.Equal(claimAs("e0", timed), claim.Granted)
		is.Equal(claimAs("e0", "order"), claim.Granted)
		is.Equal(len(c.platform.Dump("claims/").Rows), 2)
		time.Sleep(23 * time.Hour)
		is.Equal(claimAs("e1", timed), claim.Unknown)
		is.Equal(claimAs("e1", "order"), claim.Unknown)
		time.Sleep(5 * time.Hour)
		is.Equal(len(c.platform.Dump("claims/").Rows), 0)
		is.Equal(len(c.platform.Dump("claim-floors/").Rows), 4+1) // all timed shards, one opaque
		is.Equal(claimAs("e1", timed), claim.KeyTooOld)
		is.Equal(claimAs("e1", "order"), claim.Granted)
		is.Equal(claimAs("e0", "order"), claim.Running)
	})
}

// Two nodes write the same bill with different amounts, one to the table and one to the
// object store. The closed bucket must be summarised once, whichever node does it, with the
// first amount. A late bill, held during a long outage, must lead to a second revision.
func TestClosedBucketIsSummarisedOnce(t *testing.T) {
	inBubble(t, 4, func(is *is.I, c *cluster) {
		k, late := newKey(), newKey()
		b := billOf(k, 7)
		_, err := billIn(c.ledgers["e0"], 5*time.Second, b)
		is.NoErr(err)
		c.setFaults(fault.Change{Table: &fault.Fault{Down: true}})
		expensive := b
		expensive.Cost, expensive.At = 9, b.At.Add(time.Second)
		_, err = billIn(c.ledgers["e1"], 5*time.Second, expensive)
		is.NoErr(err)
		c.setFaults(fault.Change{Table: &fault.Fault{}})

		bucket := c.settings.Layout.Bill(k, time.Time{})
		_, err = c.ledgers["e0"].SummariseBucket(context.Background(), bucket)
		is.True(errors.Is(err, ErrOpenBucket))
		time.Sleep(27 * time.Hour)
		is.Equal(len(c.platform.Dump(bucket.Summary()).Rows), 1)
		is.Equal(len(c.platform.Dump(bucket.Previous().Summary()).Rows), 1) // a bucket without bills
		want := []Total{{Org: "org", Bills: 1, Cost: 7}}
		for id := range c.ledgers {
			s, err := c.ledgers[id].SummariseBucket(context.Background(), bucket)
			is.NoErr(err)
			is.Equal(s, Summary{Revision: 1, Totals: want})
		}
		_, err = billIn(c.ledgers["e2"], 5*time.Second, billOf(late, 1))
		is.NoErr(err)
		s, err := c.ledgers["e3"].SummariseBucket(context.Background(), bucket)
		is.NoErr(err)
		is.Equal(s, Summary{Revision: 2, Totals: []Total{{Org: "org", Bills: 2, Cost: 8}}})
		from, to := c.settings.Layout.Span(bucket)
		sum, err := c.ledgers["e1"].Totals(context.Background(), BillQuery{From: from, To: to})
		is.NoErr(err)
		is.Equal(sum, s.Totals)
	})
}

// A bucket has more bills than a page may have. The pages must return each bill once, also
// if they are requested from different nodes.
func TestPagesReturnEachBillOnce(t *testing.T) {
	inBubble(t, 2, func(is *is.I, c *cluster) {
		const bills = pageBills + 10
		var wg sync.WaitGroup
		for range bills {
			wg.Go(func() { _, _ = billIn(c.ledgers["e0"], 5*time.Second, billOf(newKey(), 1)) })
		}
		wg.Wait()
		q := BillQuery{From: time.Now().Add(-time.Hour), To: time.Now().Add(time.Hour)}
		first, err := c.ledgers["e0"].Bills(context.Background(), q)
		is.NoErr(err)
		is.Equal(len(first.Bills), pageBills)
		q.Cursor = first.Next
		second, err := c.ledgers["e1"].Bills(context.Background(), q)
		is.NoErr(err)
		is.Equal(len(second.Bills), 10)
		is.Equal(len(c.allBills("e1")), bills)
	})
}

// A caller uses order numbers as keys and repeats a request after midnight. The two bills
// are in two buckets. They must count as one bill of the first bucket.
func TestOpaqueKeyIsBilledOnceAcrossBuckets(t *testing.T) {
	inBubble(t, 2, func(is *is.I, c *cluster) {
		time.Sleep(23 * time.Hour) // the bubble begins at midnight
		first := billOf("order", 7)
		_, err := billIn(c.ledgers["e0"], 5*time.Second, first)
		is.NoErr(err)
		time.Sleep(2 * time.Hour)
		_, err = billIn(c.ledgers["e1"], 5*time.Second, billOf("order", 9))
		is.NoErr(err)
		is.Equal(c.settings.Layout.Bill("order", first.At).Kind, key.Opaque)
		is.Equal(c.allBills("e0"), []Bill{first})
		page, err := c.ledgers["e0"].Bills(context.Background(), BillQuery{From: time.Now().Add(-time.Hour), To: time.Now().Add(time.Hour)})
		is.NoErr(err)
		is.Equal(len(page.Bills), 0)
		page, err = c.ledgers["e0"].Bills(context.Background(), BillQuery{Org: "another", From: first.At.Add(-time.Hour), To: time.Now()})
		is.NoErr(err)
		is.Equal(len(page.Bills), 0)
		_, err = c.ledgers["e0"].Bills(context.Background(), BillQuery{From: first.At, To: time.Now(), Cursor: "x"})
		is.True(err != nil)
	})
}
