package bill

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/hickorybank/hickorybank/internal/ledger/fate"
)

func benchBills(n int, at time.Time) []Bill {
	bills := make([]Bill, n)
	for i := range bills {
		bills[i] = Bill{
			Org: fmt.Sprintf("organisation-%d", i%10), Key: uuid.NewString(), Class: "heavy", Version: fmt.Sprintf("model-%d", i%24),
			Cost: int64(1000 + i), InputTokens: 2000, OutputTokens: 320, At: at.Add(time.Duration(i) * time.Millisecond),
		}
	}
	return bills
}

// BenchmarkCollect measures the cost of a bill in Collector and in the codec, by batch
// size.
func BenchmarkCollect(b *testing.B) {
	for _, size := range []int{1, 16, 256, 1024} {
		b.Run(fmt.Sprintf("bills=%d", size), func(b *testing.B) {
			s := testSettings("w")
			s.MinGap, s.MaxBatch, s.MaxWaiting = 0, 10_000, 100_000
			c := NewCollector(s)
			now := time.Unix(1000, 0)
			bills := benchBills(size, now)
			n, bytes := 0, 0
			b.ReportAllocs()
			for b.Loop() {
				for i := range bills {
					c.Add(uint64(i), bills[i])
				}
				for _, w := range c.Ready(now).Table {
					data, err := w.Row.Encode()
					if err != nil {
						b.Fatal(err)
					}
					bytes += len(data)
					c.TableDone(now, w, fate.Applied)
				}
				n += len(c.Ready(now).Replies)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n), "ns/bill")
			b.ReportMetric(float64(bytes)/float64(n), "B/bill")
		})
	}
}

// BenchmarkMerge measures the cost of decoding and merging the bills of a bucket.
func BenchmarkMerge(b *testing.B) {
	const rows, each = 100, 500
	var data [][]byte
	for range rows {
		row := Row{Bills: Pack(benchBills(each, time.Unix(1000, 0)))}
		one, err := row.Encode()
		if err != nil {
			b.Fatal(err)
		}
		data = append(data, one)
	}
	for b.Loop() {
		var all []Bill
		for _, one := range data {
			bills, err := Decode(one)
			if err != nil {
				b.Fatal(err)
			}
			all = append(all, bills...)
		}
		if len(Merge(all, window)) != rows*each {
			b.Fatal("bills are missing")
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*rows*each), "ns/bill")
}

// BenchmarkWaiting measures the memory of a waiting bill, before it is in a batch and in
// a row that peers hold, while no store takes it.
func BenchmarkWaiting(b *testing.B) {
	const bills = 50_000
	for b.Loop() {
		before := heap()
		s := testSettings("w")
		s.MaxWaiting, s.MaxBatch, s.MinGap, s.Refresh = bills, 500, 0, 24*time.Hour
		c := NewCollector(s)
		c.table.failures, c.objects.failures = failuresToDown, failuresToDown
		now := time.Unix(1000, 0)
		c.table.nextProbe, c.objects.nextProbe = now.Add(time.Hour), now.Add(time.Hour)
		for i, one := range benchBills(bills, now) {
			c.Add(uint64(i), one)
		}
		open := heap()
		for len(c.unbatched) > 0 {
			for _, w := range c.Ready(now).Hold {
				c.HoldDone(now, w, []string{"x", "y"})
			}
		}
		c.Ready(now)
		b.ReportMetric(float64(open-before)/bills, "B/open")
		b.ReportMetric(float64(heap()-before)/bills, "B/held")
		runtime.KeepAlive(c)
	}
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
