package confsync

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

const (
	domainSize    = 42
	fleetWarmUp   = 10 * time.Second
	fleetIdle     = 20 * time.Second
	fleetChanges  = 40
	fleetInterval = 1700 * time.Millisecond
)

// BenchmarkFleet measures fleets in virtual time: the time from the acceptance of a change
// until it is in force on the last node, and the number of messages. Responses of the table
// take 1 to 8 ms, messages 0.2 to 2 ms.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{2, 8, 32, 128, 1600} {
		b.Run(fmt.Sprint("nodes=", size), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, size)
			}
		})
	}
}

// BenchmarkFleetFrozen measures the same while one node in a hundred, drawn for each change,
// freezes at the moment of the change. The times are those of the other nodes.
func BenchmarkFleetFrozen(b *testing.B) {
	for _, size := range []int{8, 128, 1600} {
		b.Run(fmt.Sprint("nodes=", size), func(b *testing.B) {
			for b.Loop() {
				measureFrozen(b, size)
			}
		})
	}
}

func measureFrozen(b *testing.B, size int) {
	b.Helper()
	w := startFleet(size)
	var all, last []time.Duration
	for range fleetChanges {
		frozen := make([]*simNode, max(1, size/100))
		for i := range frozen {
			frozen[i] = w.anyNode()
			frozen[i].pause()
		}
		times := w.timeChange()
		all = append(all, times...)
		last = append(last, slices.Max(times))
		each(frozen, (*simNode).resume)
		w.run(2 * time.Second)
	}
	reportFleet(b, all, last)
}

func startFleet(size int) *world {
	w := newWorld(1, Settings{})
	w.unchecked = true
	w.accept()
	domains := max(4, (size+domainSize-1)/domainSize)
	var vms []platform.VM
	for i := range size {
		vms = append(vms, w.newNode(fmt.Sprint("n", i), fmt.Sprint("d", i%domains)).vm)
	}
	w.vms.change(0, vms)
	for _, n := range w.nodes {
		n.start()
	}
	w.run(fleetWarmUp)
	return w
}

func measureFleet(b *testing.B, size int) {
	b.Helper()
	w := startFleet(size)
	before := w.counts
	w.run(fleetIdle)
	each := func(n, before int) float64 { return float64(n-before) / fleetIdle.Seconds() / float64(size) }
	b.ReportMetric(each(w.counts.waits, before.waits), "waits/node/s")
	b.ReportMetric(float64(w.counts.headReads-before.headReads)/fleetIdle.Seconds(), "reads/s")
	var all, last []time.Duration
	docs := w.counts.docReads
	for range fleetChanges {
		times := w.timeChange()
		all = append(all, times...)
		last = append(last, slices.Max(times))
	}
	b.ReportMetric(float64(w.counts.docReads-docs)/fleetChanges, "documents/change")
	reportFleet(b, all, last)
}

func reportFleet(b *testing.B, all, last []time.Duration) {
	b.Helper()
	slices.Sort(all)
	slices.Sort(last)
	ms := func(list []time.Duration, share float64) float64 {
		return float64(list[int(share*float64(len(list)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(ms(all, 0.5), "node-p50-ms")
	b.ReportMetric(ms(all, 0.99), "node-p99-ms")
	b.ReportMetric(ms(last, 0.5), "last-p50-ms")
	b.ReportMetric(ms(last, 1), "worst-ms")
}

// timeChange accepts a change and returns the time that each node took to apply it.
func (w *world) timeChange() []time.Duration {
	revision := w.accept()
	start := w.now
	var times []time.Duration
	done := map[string]bool{}
	live := 0
	for _, n := range w.nodes {
		if !n.paused {
			live++
		}
	}
	for w.now < start+fleetInterval || len(times) < live {
		w.run(time.Millisecond)
		if len(times) == live {
			continue
		}
		for _, n := range w.nodes {
			if !done[n.vm.ID] && n.core.Revision() >= revision && w.now < n.core.FreshUntil() {
				done[n.vm.ID] = true
				times = append(times, w.now-start)
			}
		}
	}
	w.run(w.between(0, 500*time.Millisecond))
	return times
}
