package confsync_test

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/rpc"
	"runtime"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/confsync"
)

// BenchmarkInForce measures the time from the start of a change's transaction until the last
// of eight nodes on loopback admits work under the change.
func BenchmarkInForce(b *testing.B) {
	f := newFleet(b, 8, 4)
	f.change(0, f.doc.Presets[0].Name)
	f.await("the list", func(m *member) bool { return len(m.members()) == 8 })
	f.await("revision 1", admitsUnder(1))
	var times []time.Duration
	revision := uint64(1)
	for b.Loop() {
		// Decouple the change from the times of the reads of the head.
		time.Sleep(time.Duration(rand.Int64N(int64(confsync.DefaultReadInterval))))
		start := time.Now()
		f.change(revision, f.doc.Presets[revision%2].Name)
		revision++
		f.await("the revision", admitsUnder(revision))
		times = append(times, time.Since(start))
	}
	reportTimes(b, times)
}

func reportTimes(b *testing.B, times []time.Duration) {
	b.Helper()
	slices.Sort(times)
	at := func(share float64) float64 {
		return float64(times[int(share*float64(len(times)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(at(0.5), "p50-ms")
	b.ReportMetric(at(0.99), "p99-ms")
	b.ReportMetric(at(1), "worst-ms")
}

// BenchmarkIdle measures the cost per node and second of keeping a configuration fresh while
// nothing changes, and the additional cost of a change of one organisation: calls and bytes
// between nodes (TCP payload), reads of the table, and processor time of the whole process,
// which includes the platform in memory.
func BenchmarkIdle(b *testing.B) {
	for _, shape := range []struct{ nodes, domains int }{{8, 4}, {12, 1}, {42, 1}} {
		b.Run(fmt.Sprintf("nodes=%d/domains=%d", shape.nodes, shape.domains), func(b *testing.B) {
			measureIdle(b, shape.nodes, shape.domains)
		})
	}
}

const idleTime = 6 * time.Second

func measureIdle(b *testing.B, nodes, domains int) {
	b.Helper()
	var bytes atomic.Int64
	var callers []*countedCaller
	f := newFleetWith(b, nodes, domains, func() caller {
		c := &countedCaller{bytes: &bytes, conns: map[string]*rpc.Client{}}
		callers = append(callers, c)
		return c
	})
	f.doc = sized(100)
	f.change(0, "day")
	f.await("the list", func(m *member) bool { return len(m.members()) == nodes })
	f.await("revision 1", admitsUnder(1))
	time.Sleep(2 * time.Second)
	calls := func() (sum int64) {
		for _, c := range callers {
			sum += c.calls.Load()
		}
		return sum
	}
	for b.Loop() {
		bytes0, calls0, reads0, cpu0 := bytes.Load(), calls(), f.platform.Stats().Reads, processorTime()
		time.Sleep(idleTime)
		each := func(x float64) float64 { return x / idleTime.Seconds() / float64(nodes) }
		b.ReportMetric(each(float64(bytes.Load()-bytes0)), "B/node/s")
		b.ReportMetric(each(float64(calls()-calls0)), "calls/node/s")
		b.ReportMetric(each(float64(f.platform.Stats().Reads-reads0)), "reads/node/s")
		b.ReportMetric(each(float64((processorTime() - cpu0).Microseconds())), "cpu-us/node/s")
		f.doc.Organisations[0].Weight++
		before := bytes.Load()
		f.change(f.nodes[0].Snapshot().Revision, "day")
		f.await("the change", admitsUnder(f.nodes[0].Snapshot().Revision))
		time.Sleep(700 * time.Millisecond)
		b.ReportMetric(float64(bytes.Load()-before)/float64(nodes), "B/node/change")
	}
}

// BenchmarkMemory measures the live heap of a node for a configuration after some changes of
// one organisation.
func BenchmarkMemory(b *testing.B) {
	const nodes, changes = 4, 10
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint("organisations=", n), func(b *testing.B) {
			for b.Loop() {
				before := liveHeap()
				f := newFleet(b, nodes, 1)
				f.doc = sized(n)
				for revision := range uint64(changes) {
					f.doc.Organisations[0].Weight++
					f.change(revision, "day")
					f.await("the change", admitsUnder(revision+1))
				}
				f.doc = nil
				stored := 0
				for revision := range uint64(changes) {
					row, err := f.platform.Get(context.Background(), admin.DocKey(revision+1))
					if err != nil {
						b.Fatal(err)
					}
					stored += len(row.Value)
				}
				b.ReportMetric(float64(liveHeap()-before-stored)/nodes/1024, "KB/node")
			}
		})
	}
}

func liveHeap() int {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkFresh measures the checks that each request performs.
func BenchmarkFresh(b *testing.B) {
	f := newFleet(b, 1, 1)
	f.change(0, f.doc.Presets[0].Name)
	f.await("revision 1", admitsUnder(1))
	m := f.nodes[0]
	b.Run("Fresh", func(b *testing.B) {
		for b.Loop() {
			if !m.Fresh() {
				b.Fatal("not fresh")
			}
		}
	})
	b.Run("Current", func(b *testing.B) {
		for b.Loop() {
			if _, fresh := m.Current(); !fresh {
				b.Fatal("not fresh")
			}
		}
	})
}

// sized returns a document with the given number of organisations and 24 versions.
func sized(organisations int) *config.Document {
	doc := &config.Document{Preset: "day", Presets: []config.Preset{{Name: "day"}, {Name: "night"}}}
	for _, kind := range []config.Kind{config.Immediate, config.Heavy, config.Deferrable} {
		doc.Classes = append(doc.Classes, config.Class{Name: string(kind), Kind: kind, DeadlineMillis: 10_000})
	}
	var names []string
	for m := range 6 {
		model := config.Model{Name: fmt.Sprint("model-", m)}
		for v := range 4 {
			name := fmt.Sprintf("model-%d@%d", m, v)
			names = append(names, name)
			model.Versions = append(model.Versions, config.Version{Name: name, State: config.Serving, InputCost: 120, OutputCost: 480, PriorQuality: 0.8})
		}
		doc.Models = append(doc.Models, model)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for o := range organisations {
		org := config.Organisation{Name: fmt.Sprint("organisation-", o), Weight: 1 + float64(o%5), RatePerSecond: 50}
		for range 2 {
			key := make([]byte, config.KeyHashBytes)
			for i := range key {
				key[i] = byte(random.Uint32())
			}
			org.KeyHashes = append(org.KeyHashes, hex.EncodeToString(key))
		}
		for range 6 {
			org.Versions = append(org.Versions, names[random.IntN(len(names))])
		}
		slices.Sort(org.Versions)
		org.Versions = slices.Compact(org.Versions)
		for _, c := range doc.Classes {
			org.Targets = append(org.Targets, config.Target{Class: c.Name, Quality: 0.7})
		}
		doc.Organisations = append(doc.Organisations, org)
	}
	return doc
}

// BenchmarkDelta compares the sizes, as sent to a peer, of a change of one organisation as a
// delta and of the full document.
func BenchmarkDelta(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint("organisations=", n), func(b *testing.B) {
			before, after := encoded(b, sized(n)), changed(b, n)
			var d archive.Delta
			for b.Loop() {
				var err error
				if d, err = archive.MakeDelta(1, 2, before, after); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(after)), "plain-B")
			b.ReportMetric(float64(confsync.PackedSize(after)), "whole-B")
			b.ReportMetric(float64(len(d.Edits)), "delta-B")
		})
	}
}

// BenchmarkApply measures a node's cost of a change of one organisation: applying the delta,
// parsing and compiling the document.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint("organisations=", n), func(b *testing.B) {
			before, after := encoded(b, sized(n)), changed(b, n)
			d, err := archive.MakeDelta(1, 2, before, after)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				raw, err := d.Apply(before)
				if err != nil {
					b.Fatal(err)
				}
				doc := new(config.Document)
				if err := json.Unmarshal(raw, doc); err != nil {
					b.Fatal(err)
				}
				if _, err := config.Compile(2, doc); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func encoded(b *testing.B, doc *config.Document) []byte {
	b.Helper()
	raw, err := json.Marshal(doc)
	if err != nil {
		b.Fatal(err)
	}
	return raw
}

func changed(b *testing.B, n int) []byte {
	b.Helper()
	doc := sized(n)
	doc.Organisations[n/2].Weight++
	return encoded(b, doc)
}
