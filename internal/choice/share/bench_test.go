package share

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/hickorybank/hickorybank/internal/choice"
)

// ratedChooser returns a chooser with 200 ratings and answers of one version in each
// class.
func ratedChooser(name string, classes int) *choice.Chooser {
	c := choice.New(choice.Settings{Node: name, Epoch: 1})
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1_800_000_000, 0)
	for class := range classes {
		for range 200 {
			score := min(max(0.8+0.15*rng.NormFloat64(), 0), 1)
			o := choice.Observation{Version: "drafter@3", Class: fmt.Sprintf("class-%d", class), Score: score, Again: score, HasAgain: true, Now: now}
			c.Observe(o)
			o.IsFallback = true
			c.Observe(o)
			c.ObserveAnswer(choice.Answer{Version: o.Version, Class: o.Class, Took: time.Second, InputTokens: 1000, OutputTokens: 300, Now: now})
		}
	}
	return c
}

// encodedBytes is the size of a message on a connection that has already carried the
// type's description.
func encodedBytes(b *testing.B, message any) float64 {
	var buf bytes.Buffer
	e := gob.NewEncoder(&buf)
	for range 2 {
		buf.Reset()
		if err := e.Encode(message); err != nil {
			b.Fatal(err)
		}
	}
	return float64(buf.Len())
}

// BenchmarkReport measures how one node collects the reports on a version from many
// nodes: the collector's time for one report, the sizes of report and pool, and the
// collector's memory.
func BenchmarkReport(b *testing.B) {
	for _, classes := range []int{1, 3} {
		for _, nodes := range []int{2, 8, 32, 128} {
			b.Run(fmt.Sprintf("classes=%d/nodes=%d", classes, nodes), func(b *testing.B) { benchReport(b, classes, nodes) })
		}
	}
}

func benchReport(b *testing.B, classes, nodes int) {
	now := time.Unix(1_800_000_100, 0)
	versions := []string{"drafter@3"}
	before := heapBytes()
	collector := choice.New(choice.Settings{Node: "collector", Epoch: 1})
	var reports []choice.Report
	for i := range nodes {
		s := ratedChooser(fmt.Sprintf("entry-%05d", i), classes)
		collector.Merge(s.Summary(versions...), now)
		reports = append(reports, s.Report(versions))
	}
	used := heapBytes() - before
	pool := collector.HandleReport(reports[0], now)
	reportBytes, poolBytes := encodedBytes(b, &reports[0]), encodedBytes(b, &pool)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r := &reports[i%nodes]
		r.Summary.Seq++
		pool = collector.HandleReport(*r, now)
	}
	b.ReportMetric(reportBytes, "report-bytes")
	b.ReportMetric(poolBytes, "pool-bytes")
	b.ReportMetric(float64(used)/float64(nodes), "heap-bytes/node")
	runtime.KeepAlive(collector)
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
