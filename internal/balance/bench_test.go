package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

var policies = []PolicyName{PolicyRoundRobin, PolicyRandom, PolicyLeastLoaded, PolicyTwoChoices, PolicyAffinity}

// BenchmarkPick is one Pick and its Done with the usual subset.
func BenchmarkPick(b *testing.B) {
	for _, name := range policies {
		b.Run(string(name), func(b *testing.B) { benchPick(b, name, 64, 64) })
	}
}

// BenchmarkPickKnown is the same with more upstreams known than dealt with.
func BenchmarkPickKnown(b *testing.B) {
	for _, known := range []int{24, 128, 1000, 10_000} {
		b.Run(fmt.Sprint(known), func(b *testing.B) { benchPick(b, PolicyAffinity, known, 64) })
	}
}

func benchPick(b *testing.B, name PolicyName, known, size int) {
	bal := New(Settings{SelfDomain: "domain-0", Policy: name, SubsetSize: size})
	vms := engines(known)
	bal.SetMembers(vms, Place{Count: 1}, epoch)
	for _, s := range bal.Status(epoch) {
		bal.Report(s.VM.ID, loadOf(8, "v@1"), epoch)
	}
	b.ReportAllocs()
	now := epoch
	for i := 0; b.Loop(); i++ {
		now = now.Add(10 * time.Millisecond)
		pick, ok := bal.Pick(Request{Version: "v@1", PrefixHash: uint64(i%200 + 1), Kind: config.Heavy, Now: now, Random: mix(1, uint64(i))})
		if !ok {
			b.Fatal("no upstream")
		}
		bal.Done(pick.Token, Result{Outcome: Succeeded, FirstToken: time.Second, Latency: 10 * time.Second, Tokens: 200}, now)
	}
}

// BenchmarkSubsets tells by how many of 1,600 nodes each of 10,000 upstreams
// in 38 failure domains is dealt with, against a random choice of as many.
func BenchmarkSubsets(b *testing.B) {
	const nodes, upstreams, domains, size = 1600, 10_000, 38, 64
	vms := engines(upstreams)
	for i := range vms {
		vms[i].FailureDomain = fmt.Sprintf("domain-%d", i%domains)
	}
	all, _ := group(vms)
	var windows, drawn spreadOf
	for b.Loop() {
		known, random := map[string]int{}, map[string]int{}
		for n := range nodes {
			place := Place{Index: n / domains, Count: nodes / domains}
			for _, m := range chooseSubset(all, fmt.Sprintf("domain-%d", n%domains), place, size).chosen {
				known[m.vm.ID]++
			}
			for i := range uint64(size) {
				random[all[mix(uint64(n), i)%upstreams].vm.ID]++
			}
		}
		windows, drawn = spreadOfAll(known, vms), spreadOfAll(random, vms)
	}
	b.ReportMetric(float64(windows.least), "least")
	b.ReportMetric(float64(windows.most), "most")
	b.ReportMetric(windows.deviation, "deviation")
	b.ReportMetric(float64(drawn.least), "random-least")
	b.ReportMetric(float64(drawn.most), "random-most")
	b.ReportMetric(drawn.deviation, "random-deviation")
}

// spreadOf is how evenly upstreams are dealt with.
type spreadOf struct {
	least, most int
	deviation   float64
}

func spreadOfAll(known map[string]int, vms []platform.VM) spreadOf {
	s := spreadOf{least: 1 << 30}
	var sum, squares float64
	for _, vm := range vms {
		n := known[vm.ID]
		s.least, s.most = min(s.least, n), max(s.most, n)
		sum += float64(n)
		squares += float64(n * n)
	}
	mean := sum / float64(len(vms))
	s.deviation = math.Sqrt(squares/float64(len(vms)) - mean*mean)
	return s
}

// BenchmarkSetMembers is one change of the VM list.
func BenchmarkSetMembers(b *testing.B) {
	for _, known := range []int{24, 128, 1000, 10_000} {
		b.Run(fmt.Sprint(known), func(b *testing.B) {
			bal := New(Settings{SelfDomain: "domain-0"})
			vms := engines(known)
			b.ReportAllocs()
			for b.Loop() {
				bal.SetMembers(vms, Place{Count: 1}, epoch)
			}
		})
	}
}

// BenchmarkRoom asks for the room of 24 versions on 64 engines, as for each
// request that may run on any of them.
func BenchmarkRoom(b *testing.B) {
	const versions = 24
	balancer := New(Settings{SelfID: "self", SelfDomain: "d"})
	var vms []platform.VM
	var names []string
	for i := range versions {
		names = append(names, fmt.Sprintf("v@%d", i))
	}
	for i := range 64 {
		id := fmt.Sprint(i)
		vms = append(vms, platform.VM{ID: id, Role: platform.RoleEngine, Addr: id, FailureDomain: "d", State: platform.Live})
	}
	balancer.SetMembers(vms, Place{Count: 1}, epoch)
	for i := range vms {
		balancer.Report(vms[i].ID, upstream.LoadReport{Limit: 16, Versions: names[:1+i%versions]}, epoch)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := epoch.Add(time.Duration(i) * 17 * time.Millisecond)
		for _, name := range names {
			balancer.Room(name, now)
		}
	}
}
