package ledger

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

// fillBucket fills a bucket with bills in rows of the table and in objects. Some of them
// are in several rows with different amounts.
func fillBucket(is *is.I, c *cluster, n int) key.Bucket {
	l := c.ledgers["e0"]
	var bucket key.Bucket
	var before []Bill
	for row := range n / 20 {
		bills := append([]Bill(nil), before[:len(before)/2]...)
		for i := range bills {
			bills[i].Cost, bills[i].At = 99, bills[i].At.Add(time.Second)
		}
		for i := range 20 {
			b := billOf(newKey(), int64(row+i))
			b.Org = fmt.Sprint("org", i%3)
			bucket = c.settings.Layout.Bill(b.Key, b.At)
			bills = append(bills, b, b)
		}
		r := bill.Row{Bucket: bucket, Writer: "w", Seq: uint64(row), Bills: bill.Pack(bills)}
		_, err := l.store.createBills(context.Background(), r)
		is.NoErr(err)
		if row%3 == 0 {
			_, err = l.store.putBills(context.Background(), r)
			is.NoErr(err)
		}
		before = bills[len(bills)-40:]
	}
	return bucket
}

// A closed bucket may have 24 million bills. A node that summarises it as a whole would
// need 6.3 GB. Divided into parts with few keys each, which different nodes process and
// some nodes abandon, it must have the same totals.
func TestLargeBucketIsSummarisedInParts(t *testing.T) {
	inBubble(t, 4, func(is *is.I, c *cluster) {
		bucket := fillBucket(is, c, 2000)
		for _, l := range c.ledgers {
			l.settings.MaxSummaryKeys = 300
		}
		l := c.ledgers["e0"]
		bills, err := l.reader.bills(context.Background(), bucket, time.Time{})
		is.NoErr(err)
		is.Equal(len(bills), 2000)
		want := newTotals()
		want.add(bills)
		_, to := c.settings.Layout.Span(bucket)
		time.Sleep(time.Until(to.Add(c.settings.Window + c.settings.RunLimit + c.settings.Skew)))
		nodes := map[string]bool{}
		steps := 0
		for done := false; !done; steps++ {
			id := fmt.Sprintf("e%d", 1+steps%3)
			nodes[id] = true
			done, err = c.ledgers[id].summariseStep(context.Background(), bucket)
			is.NoErr(err)
			if steps == 3 {
				c.lose("e1")
				c.start(c.members[1]).settings.MaxSummaryKeys = 300
			}
		}
		is.True(steps >= 2000/300)
		is.Equal(len(nodes), 3)
		is.Equal(len(c.platform.Dump(bucket.PartPrefix()).Rows), 0)
		s, err := l.SummariseBucket(context.Background(), bucket)
		is.NoErr(err)
		is.Equal(s, Summary{Revision: 1, Totals: want.list()})
		_, err = billIn(l, time.Second, Bill{Org: "org0", Key: keyAt(to.Add(-time.Second)), Cost: 5, At: time.Now()})
		is.NoErr(err)
		s, err = l.SummariseBucket(context.Background(), bucket)
		is.NoErr(err)
		is.Equal(s.Revision, uint64(2))
		is.Equal(s.Totals[0].Bills, want.list()[0].Bills+1)
	})
}

// Two nodes do the same step at a time, and one of them finishes the summary before the
// other writes its part. The part must not be written then.
func TestPartIsNotWrittenAfterTheSummary(t *testing.T) {
	inBubble(t, 2, func(is *is.I, c *cluster) {
		bucket := fillBucket(is, c, 1000)
		a, b := c.ledgers["e0"], c.ledgers["e1"]
		a.settings.MaxSummaryKeys, b.settings.MaxSummaryKeys = 300, 300
		p, sum, err := a.summariseFirst(context.Background(), bucket)
		is.NoErr(err)
		for done := false; !done; {
			done, err = b.summariseStep(context.Background(), bucket)
			is.NoErr(err)
		}
		is.NoErr(a.writePart(context.Background(), bucket, p, sum)) // the summary exists, so the part is not written
		is.Equal(len(c.platform.Dump(bucket.PartPrefix()).Rows), 0)
		is.Equal(len(c.platform.Dump(bucket.Summary()).Rows), 1)
	})
}

// The totals of the parts must add up to those of a reader of all bills, for any
// distribution of bills over rows and any number of parts.
func TestPartsAddUpToTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		var rows [][]Bill
		var all []Bill
		for range rapid.IntRange(0, 8).Draw(t, "rows") {
			bills := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Bill {
				return Bill{
					Org: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "org"), Key: fmt.Sprintf("018bcfe5-687b-7000-8000-0000000000%02d", rapid.IntRange(0, 30).Draw(t, "key")),
					Cost: rapid.Int64Range(0, 9).Draw(t, "cost"), Digest: rapid.Uint64Range(0, 2).Draw(t, "digest"), At: time.UnixMilli(rapid.Int64Range(0, 9).Draw(t, "at")).UTC(),
				}
			}), 0, 12).Draw(t, "bills")
			rows = append(rows, bills)
			all = append(all, bills...)
		}
		bits := rapid.IntRange(0, 3).Draw(t, "bits")
		var sum []Total
		for p := (part{bits: bits}); p.number < p.count(); p.number++ {
			s := newPartSum(p, len(all)) // few repeated keys are in memory at a time
			for i, bills := range rows {
				is.NoErr(s.addRow(source{name: fmt.Sprint(i)}, bills))
			}
			is.NoErr(s.removeDuplicates(func(some map[source]struct{}, take func([]Bill)) error {
				for from := range some {
					var i int
					_, err := fmt.Sscan(from.name, &i)
					is.NoErr(err)
					take(rows[i])
				}
				return nil
			}))
			sum = addTotals(sum, s.sum.list())
		}
		want := newTotals()
		want.add(bill.Merge(all, 24*time.Hour))
		is.Equal(sum, want.list())
	})
}

// BenchmarkSettling measures the memory and processor time per key while a bucket is
// summarised.
func BenchmarkSettling(b *testing.B) {
	for _, n := range []int{39_000, 390_000, 4_000_000, 16_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			row := make([]Bill, 1000)
			for b.Loop() {
				before := heap()
				s := newPartSum(part{}, n)
				for i := range n {
					row[i%len(row)] = Bill{Org: "org", Key: fmt.Sprint("018bcfe5-687b-7000-8000-", i), Cost: 1}
					if i%len(row) == len(row)-1 {
						_ = s.addRow(source{name: "bills/t/000000000000/entry-17~f47ac10b/0000000001"}, row)
					}
				}
				b.ReportMetric(float64(heap()-before)/float64(n), "B/key")
				runtime.KeepAlive(s)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/key")
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
