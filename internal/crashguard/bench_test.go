package crashguard

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"
)

// storm returns a guard in a storm: many crashes, each of them beside many parts.
func storm(crashes, beside int) (*Guard, time.Time) {
	g, now := New(), time.Unix(1000, 0)
	for i := range crashes {
		now = now.Add(100 * time.Millisecond)
		id := NewCrashID(fmt.Sprint("i", i))
		g.Strike(id, Chain{PartKey("first"), PartKey("bad"), RequestKey("o", "/", fmt.Append(nil, i))}, now, now, now)
		for k := range beside {
			g.Strike(id, Chain{PartKey("first"), PartKey(fmt.Sprint("p", (i*7+k)%200)), RequestKey("o", "/", fmt.Append(nil, i, k))}, now, now, now)
		}
	}
	return g, now
}

// BenchmarkStrike measures a strike and the verdict after it, with 100 crashes beside 20 requests
// each.
func BenchmarkStrike(b *testing.B) {
	g, now := storm(100, 20)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(10 * time.Millisecond)
		chain := Chain{PartKey("first"), PartKey(fmt.Sprint("p", i%200)), RequestKey("o", "/", fmt.Append(nil, "x", i))}
		g.Strike(NewCrashID(fmt.Sprint("n", i)), chain, now, now, now)
		g.Convicted(chain, now)
	}
}

// BenchmarkConvicted measures the check of a request while nothing changes.
func BenchmarkConvicted(b *testing.B) {
	g, now := storm(100, 20)
	chain := Chain{PartKey("first"), PartKey("p1"), RequestKey("o", "/", nil)}
	b.ReportAllocs()
	for b.Loop() {
		g.Convicted(chain, now)
	}
}

// BenchmarkReport measures a report and its merge at a peer, with the bytes of a message.
func BenchmarkReport(b *testing.B) {
	g, now := storm(100, 20)
	peer := New()
	var buf bytes.Buffer
	enc := gob.NewEncoder(&buf)
	_ = enc.Encode(Report{})
	buf.Reset()
	_ = enc.Encode(g.Report(now))
	size := buf.Len()
	b.ReportAllocs()
	for b.Loop() {
		peer.Merge(g.Report(now), now)
	}
	b.ReportMetric(float64(size), "B/report")
}
