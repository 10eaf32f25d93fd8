package capacity

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/balance"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// start is the initial time of measurements in virtual time.
var start = time.Unix(1_800_000_000, 0).UTC()

var fleetSizes = []int{24, 256, 2500, 10_000}

func balanceProbes() []Probe {
	return []Probe{
		{
			Slope: Slope{Name: "balance.pick", What: "an attempt: Pick, FirstToken, Done", Per: "upstreams known", Unit: Nanoseconds},
			Sizes: fleetSizes, QuickSizes: []int{24, 2500}, Measure: measurePick,
		},
		{
			Slope: Slope{Name: "balance.members", What: "a new list: SetMembers", Per: "upstreams known", Unit: Nanoseconds},
			Sizes: fleetSizes, QuickSizes: []int{24, 2500}, Measure: measureSetMembers,
		},
		{
			Slope: Slope{Name: "balance.heap", What: "a balancer's heap, list included", Per: "upstreams known", Unit: Bytes},
			Sizes: fleetSizes, QuickSizes: []int{24, 2500}, Measure: measureBalancerHeap,
		},
		{
			Slope: Slope{Name: "balance.poll", What: "a load report: NeedPoll, Report", Per: "upstreams known", Unit: Nanoseconds},
			Sizes: fleetSizes, QuickSizes: []int{24, 2500}, Measure: measurePollCore,
		},
	}
}

func newBalancer(known int) *balance.Balancer {
	b := balance.New(balance.Settings{Seed: 1, SelfID: "entry-00000", SelfDomain: domainName(0)})
	b.SetMembers(fleet(1, known, domainsOf(known)), balance.NodeRank{Count: 1}, start)
	for _, s := range b.Status(start) {
		b.Report(s.VM.ID, loadReport(), start)
	}
	return b
}

func loadReport() upstream.LoadReport {
	return upstream.LoadReport{Running: 8, Queued: 2, Limit: 64, Versions: []string{versionName(0), versionName(1)}, AgeMillis: 300}
}

func measurePick(m Meter, known int) (float64, error) {
	b := newBalancer(known)
	now := start
	var i uint64
	return m.CPU(func(n int) {
		for range n {
			i++
			now = now.Add(10 * time.Millisecond)
			pick, ok := b.Pick(balance.Request{Version: versionName0, PrefixHash: i%200 + 1, Kind: config.Heavy, Now: now, Random: i * 0x9e3779b97f4a7c15})
			if !ok {
				continue
			}
			b.FirstToken(pick.Token, time.Second, now)
			b.Done(pick.Token, balance.Result{Outcome: balance.Succeeded, FirstToken: time.Second, Latency: 10 * time.Second, Tokens: 200}, now)
		}
	}), nil
}

var versionName0 = versionName(0)

func measureSetMembers(m Meter, known int) (float64, error) {
	b := newBalancer(known)
	vms := fleet(1, known, domainsOf(known))
	return m.CPU(func(n int) {
		for range n {
			b.SetMembers(vms, balance.NodeRank{Count: 1}, start)
		}
	}), nil
}

func measureBalancerHeap(m Meter, known int) (float64, error) {
	return m.Heap(func() any { return newBalancer(known) }), nil
}

func measurePollCore(m Meter, known int) (float64, error) {
	b := newBalancer(known)
	now := start
	return m.CPU(func(n int) {
		for range n {
			now = now.Add(250 * time.Millisecond)
			for _, vm := range b.NeedPoll(now) {
				b.Report(vm.ID, loadReport(), now)
			}
		}
	}), nil
}
