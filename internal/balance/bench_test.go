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

// BenchmarkPick measures one Pick and its Done with the default subset size.
func BenchmarkPick(b *testing.B) {
	for _, name := range policies {
		b.Run(string(name), func(b *testing.B) { benchPick(b, name, 64, 64) })
	}
}

// BenchmarkPickKnown measures the same with different numbers of listed upstreams.
func BenchmarkPickKnown(b *testing.B) {
	for _, known := range []int{24, 128, 1000, 10_000} {
		b.Run(fmt.Sprint(known), func(b *testing.B) { benchPick(b, PolicyAffinity, known, 64) })
	}
}

func benchPick(b *testing.B, name PolicyName, known, size int) {
	balancer := New(Settings{SelfDomain: "domain-0", Policy: name, SubsetSize: size})
	vms := engines(known)
	balancer.SetMembers(vms, NodeRank{Count: 1}, epoch)
	for _, s := range balancer.Status(epoch) {
		balancer.Report(s.VM.ID, loadOf(8, "v@1"), epoch)
	}
	b.ReportAllocs()
	now := epoch
	for i := 0; b.Loop(); i++ {
		now = now.Add(10 * time.Millisecond)
		pick, ok := balancer.Pick(Request{Version: "v@1", PrefixHash: uint64(i%200 + 1), Kind: config.Heavy, Now: now, Random: mix(1, uint64(i))})
		if !ok {
			b.Fatal("Pick found no upstream")
		}
		balancer.Done(pick.Token, Result{Outcome: Succeeded, FirstToken: time.Second, Latency: 10 * time.Second, Tokens: 200}, now)
	}
}

// BenchmarkSubsets reports how many of 1,600 nodes select each of 10,000 upstreams in 38
// failure domains, compared with a random selection of the same size.
func BenchmarkSubsets(b *testing.B) {
	const nodes, upstreams, domains, size = 1600, 10_000, 38, 64
	vms := engines(upstreams)
	for i := range vms {
		vms[i].FailureDomain = fmt.Sprintf("domain-%d", i%domains)
	}
	all, _ := groupByRole(vms)
	var windowCounts, randomCounts nodeCounts
	for b.Loop() {
		fromWindows, fromRandom := map[string]int{}, map[string]int{}
		for n := range nodes {
			nodeRank := NodeRank{Index: n / domains, Count: nodes / domains}
			for _, m := range chooseSubset(all, fmt.Sprintf("domain-%d", n%domains), nodeRank, size).selected {
				fromWindows[m.vm.ID]++
			}
			for i := range uint64(size) {
				fromRandom[all[mix(uint64(n), i)%upstreams].vm.ID]++
			}
		}
		windowCounts, randomCounts = countNodes(fromWindows, vms), countNodes(fromRandom, vms)
	}
	b.ReportMetric(float64(windowCounts.least), "least")
	b.ReportMetric(float64(windowCounts.most), "most")
	b.ReportMetric(windowCounts.deviation, "deviation")
	b.ReportMetric(float64(randomCounts.least), "random-least")
	b.ReportMetric(float64(randomCounts.most), "random-most")
	b.ReportMetric(randomCounts.deviation, "random-deviation")
}

// nodeCounts describes how evenly nodes select upstreams.
type nodeCounts struct {
	least, most int
	deviation   float64
}

func countNodes(nodesPerUpstream map[string]int, vms []platform.VM) nodeCounts {
	s := nodeCounts{least: 1 << 30}
	var sum, squares float64
	for _, vm := range vms {
		n := nodesPerUpstream[vm.ID]
		s.least, s.most = min(s.least, n), max(s.most, n)
		sum += float64(n)
		squares += float64(n * n)
	}
	mean := sum / float64(len(vms))
	s.deviation = math.Sqrt(squares/float64(len(vms)) - mean*mean)
	return s
}

// BenchmarkSetMembers measures one change of the VM list.
func BenchmarkSetMembers(b *testing.B) {
	for _, known := range []int{24, 128, 1000, 10_000} {
		b.Run(fmt.Sprint(known), func(b *testing.B) {
			balancer := New(Settings{SelfDomain: "domain-0"})
			vms := engines(known)
			b.ReportAllocs()
			for b.Loop() {
				balancer.SetMembers(vms, NodeRank{Count: 1}, epoch)
			}
		})
	}
}

// BenchmarkVersionCapacity measures VersionCapacity for 24 versions on 64 engines, as for
// each request that may run on any of them.
func BenchmarkVersionCapacity(b *testing.B) {
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
	balancer.SetMembers(vms, NodeRank{Count: 1}, epoch)
	for i := range vms {
		balancer.Report(vms[i].ID, upstream.LoadReport{Limit: 16, Versions: names[:1+i%versions]}, epoch)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := epoch.Add(time.Duration(i) * 17 * time.Millisecond)
		for _, name := range names {
			balancer.VersionCapacity(name, now)
		}
	}
}
