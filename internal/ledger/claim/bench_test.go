package claim

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/fate"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/request"
)

func benchLog() *Log {
	s := settings("w")
	s.MinGap, s.MaxEntries, s.MaxBytes = 0, 10_000, 16<<20
	return NewLog(key.Log{Kind: key.Timed, Shard: 1, Bucket: 7}, s, nil)
}

func benchEntry(i int, kind Kind) Entry {
	e := Entry{Kind: kind, ID: key.NewID("org", fmt.Sprint(i)), Attempt: key.NewID("", fmt.Sprint(i))}
	switch kind {
	case KindClaim:
		e.Node = fmt.Sprintf("entry-%d~f47ac10b-58cc-4372-a567-0e02b2c3d479", i%40)
		e.Print = request.Fingerprint(e.ID)
	case KindSettle:
		e.Outcome, e.Answer = request.Completed, make([]byte, 200)
	}
	return e
}

// drive writes a batch of operations to the log and returns the row.
func drive(b *testing.B, l *Log, now time.Time, ops []Op) Row {
	for i := range ops {
		l.Add(now, ops[i])
	}
	for {
		r := l.Ready(now)
		switch {
		case r.Read != nil:
			l.RowsRead(&Floor{}, nil, false)
		case r.Create != nil:
			l.WriteDone(now, fate.Applied)
			if n := len(l.Ready(now).Replies); n != len(ops) {
				b.Fatalf("%d replies to %d operations", n, len(ops))
			}
			return r.Create.Row
		}
	}
}

// BenchmarkBatch measures the cost of a claim in Log and in the codec, by batch size.
func BenchmarkBatch(b *testing.B) {
	for _, size := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("claims=%d", size), func(b *testing.B) {
			l := benchLog()
			now := time.Unix(1000, 0)
			n, bytes := 0, 0
			b.ReportAllocs()
			for b.Loop() {
				ops := make([]Op, size)
				for i := range ops {
					n++
					ops[i] = Op{Number: uint64(n), Entry: benchEntry(n, KindClaim), Deadline: now.Add(time.Hour)}
				}
				row := drive(b, l, now, ops)
				data, err := row.Encode()
				if err != nil {
					b.Fatal(err)
				}
				bytes += len(data)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n), "ns/claim")
			b.ReportMetric(float64(bytes)/float64(n), "B/claim")
		})
	}
}

// BenchmarkDecode measures the cost of decoding a row of 256 claims, or of 256
// settlements with answers of 200 bytes.
func BenchmarkDecode(b *testing.B) {
	for name, kind := range map[string]Kind{"claims": KindClaim, "settlements": KindSettle} {
		b.Run(name, func(b *testing.B) {
			row := Row{Writer: "w", Number: 1}
			for i := range 256 {
				row.Entries = append(row.Entries, benchEntry(i, kind))
			}
			data, err := row.Encode()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := Decode(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*256), "ns/entry")
			b.ReportMetric(float64(len(data))/256, "B/entry")
		})
	}
}

// BenchmarkKeptKeys measures the memory that a log uses per key.
func BenchmarkKeptKeys(b *testing.B) {
	const keys = 100_000
	for b.Loop() {
		before := heap()
		l := benchLog()
		now := time.Unix(1000, 0)
		for from := 0; from < keys; from += 1000 {
			ops := make([]Op, 1000)
			for i := range ops {
				ops[i] = Op{Number: uint64(from + i), Entry: benchEntry(from+i, KindClaim), Deadline: now.Add(time.Hour)}
			}
			drive(b, l, now, ops)
		}
		b.ReportMetric(float64(heap()-before)/keys, "B/key")
		runtime.KeepAlive(l)
	}
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
