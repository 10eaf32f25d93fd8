package capacity

import (
	"runtime"
	"strconv"
	"time"

	"github.com/hickorybank/hickorybank/internal/admission"
	"github.com/hickorybank/hickorybank/internal/config"
)

func admissionProbes() []Probe {
	return []Probe{
		{
			Slope: Slope{Name: "admission.offer", What: "a request: Offer, Next, Finish, all slots taken", Per: "organisations that wait", Unit: Nanoseconds},
			Sizes: []int{2, 8, 32, 128}, QuickSizes: []int{2, 32}, Measure: measureOffer,
		},
		{
			Slope: Slope{Name: "admission.allow", What: "a check of an organisation's limit: Allow", Per: "organisations with a limit", Unit: Nanoseconds},
			Sizes: []int{10, 100, 1000}, QuickSizes: []int{10, 1000}, Measure: measureAllow,
		},
		{
			Slope: Slope{Name: "admission.summaries", What: "the limits' messages of a period, 100 organisations active: Summaries", Per: "entry nodes", Unit: Nanoseconds},
			Sizes: []int{2, 8, 32, 128, 1600}, QuickSizes: []int{8, 128}, Measure: measureSummaries,
		},
		{
			Slope: Slope{Name: "admission.summarise", What: "a summary of one organisation at its holder: Summarise", Per: "entry nodes that report it", Unit: Nanoseconds},
			Sizes: []int{2, 8, 32, 128, 1600}, QuickSizes: []int{8, 128}, Measure: measureSummarise,
		},
		{
			Slope: Slope{Name: "admission.holder.heap", What: "a holder's heap for one organisation", Per: "entry nodes that report it", Unit: Bytes},
			Sizes: []int{32, 128, 1600}, QuickSizes: []int{32, 128}, Measure: measureHolderHeap,
		},
	}
}

func measureOffer(m Meter, orgs int) (float64, error) {
	const slots = 64
	q := admission.New(admission.Settings{
		MaxQueued: 4 * orgs, Limit: admission.LimitSettings{Initial: slots, Min: slots, Max: slots},
		MaxWait: admission.WaitSettings{Heavy: time.Hour},
	})
	now := start
	next := 0
	offer := func() admission.Decision {
		next++
		return q.Offer(admission.Request{
			ID: strconv.Itoa(next), Org: orgName(next % orgs), Weight: 1, Kind: config.Heavy, Pool: versionName0,
			Deadline: now.Add(24 * time.Hour), Now: now,
		})
	}
	var running []string
	for range slots + 2*orgs {
		if d := offer(); d.Verdict == admission.Run {
			running = append(running, d.ID)
		}
	}
	return m.CPU(func(n int) {
		for range n {
			now = now.Add(time.Millisecond)
			if d := offer(); d.Verdict == admission.Run {
				running = append(running, d.ID)
			}
			q.Finish(running[0], admission.Sample{FirstToken: time.Millisecond, Total: 2 * time.Millisecond}, now)
			running = running[1:]
			for _, d := range q.Next(now) {
				if d.Verdict == admission.Run {
					running = append(running, d.ID)
				}
			}
		}
	}), nil
}

func nodeNames(n int) []string {
	names := make([]string, n)
	for i, vm := range fleet(n, 0, 1) {
		names[i] = vm.ID
	}
	return names
}

func limits(orgs int) []admission.Limit {
	list := make([]admission.Limit, orgs)
	for i := range list {
		list[i] = admission.Limit{Org: orgName(i), PerSecond: 1e9}
	}
	return list
}

func newLimiter(orgs, nodes int) *admission.RateLimiter {
	l := admission.NewRateLimiter(admission.RateSettings{Self: "entry-00000"})
	l.SetLimits(limits(orgs), start)
	l.SetNodes(nodeNames(nodes), start)
	return l
}

func measureAllow(m Meter, orgs int) (float64, error) {
	l := newLimiter(orgs, 8)
	names := limits(orgs)
	now := start
	i := 0
	return m.CPU(func(n int) {
		for range n {
			i++
			now = now.Add(time.Millisecond)
			l.Allow(names[i%orgs].Org, now)
		}
	}), nil
}

// activeOrgs is the number of organisations in one node's summaries.
const activeOrgs = 100

func measureSummaries(m Meter, nodes int) (float64, error) {
	l := newLimiter(activeOrgs, nodes)
	now := start
	return m.CPU(func(n int) {
		for range n {
			now = now.Add(time.Second)
			for _, limit := range limitsActive {
				l.Allow(limit.Org, now)
			}
			l.Summaries(now)
		}
	}), nil
}

var limitsActive = limits(activeOrgs)

func summaryOf(node string, seq uint64) admission.Summary {
	return admission.Summary{From: node, To: "entry-00001", Seq: seq, Demands: []admission.Demand{{Org: orgName(0), PerSecond: 12.5, Held: 12, HeldSeq: seq - 1}}}
}

func newHolder(names []string) *admission.RateHolder {
	h := admission.NewRateHolder(admission.RateSettings{Self: "entry-00001"})
	h.SetLimits(limits(1), start)
	for _, name := range names {
		h.HandleSummary(summaryOf(name, 1), start)
	}
	return h
}

func measureSummarise(m Meter, nodes int) (float64, error) {
	names := nodeNames(nodes)
	h := newHolder(names)
	seq := uint64(1)
	return m.CPU(func(n int) {
		for range n {
			seq++
			now := start.Add(time.Duration(seq) * time.Millisecond)
			h.HandleSummary(summaryOf(names[int(seq)%nodes], seq), now)
		}
	}), nil
}

func measureHolderHeap(m Meter, nodes int) (float64, error) {
	names := nodeNames(nodes)
	v := m.Heap(func() any { return newHolder(names) })
	runtime.KeepAlive(names)
	return v, nil
}
