package ledger

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

// fillWithObjects fills a bucket with n bills, each in an object of its own, as after an
// outage of the table.
func fillWithObjects(is *is.I, c *cluster, n int) key.Bucket {
	var bucket key.Bucket
	for i := range n {
		b := billOf(newKey(), 1)
		bucket = c.settings.Layout.Bill(b.Key, b.At)
		row := bill.Row{Bucket: bucket, Writer: "lost", Seq: uint64(i), Bills: bill.Pack([]bill.Bill{b})}
		_, err := c.ledgers["e0"].store.putBills(context.Background(), row)
		is.NoErr(err)
	}
	return bucket
}

func (c *cluster) readLimit(perSecond float64) {
	err := c.platform.SetLimits(memory.LimitsChange{ReadsPerSecond: &perSecond})
	if err != nil {
		c.t.Fatal(err)
	}
}

// A long outage of the table leaves many small objects with bills. If a listing read all
// objects of a bucket at once, and each retry started from the first one, it would exceed
// the platform's rate limit again and again and never end.
func TestManySmallObjectsAreListedWithinTheRateLimit(t *testing.T) {
	inBubble(t, 2, func(is *is.I, c *cluster) {
		fillWithObjects(is, c, 1000)
		c.readLimit(80)
		q := BillQuery{From: time.Now().Add(-time.Hour), To: time.Now().Add(time.Hour)}
		listed := map[string]int{}
		for {
			ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second) // as for operators
			page, err := c.ledgers["e0"].Bills(ctx, q)
			cancel()
			is.NoErr(err)
			for _, b := range page.Bills {
				listed[b.Key]++
			}
			if q.Cursor = page.Next; page.Next == "" {
				break
			}
		}
		is.Equal(len(listed), 1000)
	})
}

// The object store is down while an operator lists the bills. The call must return an error
// within its time limit, not an empty list, and the caller's deadline must not pass.
func TestListingFailsWhileTheStoreIsDown(t *testing.T) {
	inBubble(t, 2, func(is *is.I, c *cluster) {
		fillWithObjects(is, c, 10)
		c.setFaults(fault.Change{Objects: &fault.Fault{Down: true}})
		ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
		defer cancel()
		_, err := c.ledgers["e0"].Bills(ctx, BillQuery{From: time.Now().Add(-time.Hour), To: time.Now().Add(time.Hour)})
		is.True(errors.Is(err, platform.ErrRefused) || errors.Is(err, platform.ErrUnknown))
		is.True(errors.Is(err, ErrReading))
		is.NoErr(ctx.Err())
	})
}

// After an outage, a bucket has a thousand small objects, which each listing would have to
// read. The janitor must compact them once. Later bills must still be found, and repeated
// ones must count once.
func TestSmallObjectsAreCompacted(t *testing.T) {
	inBubble(t, 2, func(is *is.I, c *cluster) {
		bucket := fillWithObjects(is, c, 1000)
		time.Sleep(2 * time.Hour)
		l := c.ledgers["e0"]
		read := func() uint64 {
			before := l.Stats().ObjectReads
			bills, err := l.reader.bills(context.Background(), bucket, time.Time{})
			is.NoErr(err)
			is.Equal(len(bills), 1000)
			return l.Stats().ObjectReads - before
		}
		is.True(read() < 10)
		compacted, err := c.platform.Objects().List(context.Background(), bucket.CompactedPrefix())
		is.NoErr(err)
		is.True(len(compacted) >= 2)
		for i := range 3 { // some bills are put again, in rows of another writer
			one, err := l.reader.bills(context.Background(), bucket, time.Time{})
			is.NoErr(err)
			_, err = l.store.putBills(context.Background(), bill.Row{Bucket: bucket, Writer: fmt.Sprint("late", i), Bills: bill.Pack(one[:5])})
			is.NoErr(err)
		}
		is.True(read() < 13)
		var open key.Bucket
		for i := range minCompact {
			b := billOf(fmt.Sprint("order-", i), 1)
			open = c.settings.Layout.Bill(b.Key, b.At)
			_, err = l.store.putBills(context.Background(), bill.Row{Bucket: open, Writer: "lost", Seq: uint64(i), Bills: bill.Pack([]bill.Bill{b})})
			is.NoErr(err)
		}
		time.Sleep(2 * time.Hour)
		after, err := c.platform.Objects().List(context.Background(), bucket.CompactedPrefix())
		is.NoErr(err)
		is.Equal(after, compacted) // a few objects are not compacted again
		opaque, err := c.platform.Objects().List(context.Background(), open.CompactedPrefix())
		is.NoErr(err)
		is.Equal(len(opaque), 1) // a bucket of a day is compacted before it closes
	})
}

// Two listings of the same bucket run at a time, and one waits for the other. A third one
// with a deadline must end at that. With a mutex held during the rate-limited reads, it
// would hang.
func TestListingWaitsForAnotherUntilItsDeadline(t *testing.T) {
	inBubble(t, 1, func(is *is.I, c *cluster) {
		bucket := fillWithObjects(is, c, 500)
		reader := c.ledgers["e0"].reader
		var lists conc.WaitGroup
		for range 2 {
			lists.Go(func() {
				bills, err := reader.bills(context.Background(), bucket, time.Time{})
				is.NoErr(err)
				is.Equal(len(bills), 500)
			})
		}
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := reader.bills(ctx, bucket, time.Time{})
		is.True(errors.Is(err, ErrReading))
		lists.Wait()
	})
}
