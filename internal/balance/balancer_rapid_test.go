package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// balancerModel drives a balancer with random events and checks its answers.
type balancerModel struct {
	b        *Balancer
	now      time.Time
	listed   []platform.VM
	leaving  map[string]bool
	inFlight []Pick
}

func (m *balancerModel) pick(t *rapid.T) {
	var exclude []string
	if len(m.listed) > 0 && rapid.Bool().Draw(t, "exclude") {
		exclude = append(exclude, rapid.SampledFrom(m.listed).Draw(t, "excluded").ID)
	}
	kinds := []config.Kind{config.Immediate, config.Heavy, config.Deferrable}
	p, ok := m.b.Pick(Request{
		Version: rapid.SampledFrom([]string{"v", "w"}).Draw(t, "version"), PrefixHash: rapid.Uint64Range(0, 3).Draw(t, "prefix"),
		Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Exclude: exclude, Isolated: rapid.Bool().Draw(t, "alone"),
		Now: m.now, Random: rapid.Uint64().Draw(t, "random"),
	})
	if !ok {
		if p.Shortage.Reason == "" || p.Shortage.RetryAfter <= 0 {
			t.Fatalf("shortage without a reason or RetryAfter: %+v", p.Shortage)
		}
		return
	}
	m.inFlight = append(m.inFlight, p)
	switch at := slices.IndexFunc(m.listed, func(v platform.VM) bool { return v.ID == p.VM.ID }); {
	case at < 0:
		t.Fatalf("picked %s, which is not listed", p.VM.ID)
	case m.leaving[p.VM.ID] || m.listed[at].State == platform.Leaving:
		t.Fatalf("picked %s, which is leaving", p.VM.ID)
	case slices.Contains(exclude, p.VM.ID):
		t.Fatalf("picked %s, which the request excluded", p.VM.ID)
	}
}

func (m *balancerModel) check(t *rapid.T) {
	counts := map[string]int{}
	for _, p := range m.inFlight {
		counts[p.VM.ID]++
	}
	for _, s := range m.b.Status(m.now) {
		if s.InFlight < 0 || s.InFlight > counts[s.VM.ID] {
			t.Fatalf("%s has %d requests in flight, want 0 to %d", s.VM.ID, s.InFlight, counts[s.VM.ID])
		}
		if s.Open && s.InFlight > counts[s.VM.ID] {
			t.Fatalf("the breaker of %s is open", s.VM.ID)
		}
	}
}

// TestBalancerInvariants checks the balancer under random events in any order. A picked
// upstream is listed, not leaving and not excluded. The count of requests in flight is
// never below 0 or above the number of open picks. Done is called once, twice, or after
// the upstream has been removed.
func TestBalancerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &balancerModel{
			b:       New(Settings{SelfDomain: "domain-0", SubsetSize: 6, Policy: rapid.SampledFrom(policies).Draw(t, "policy")}),
			now:     epoch,
			leaving: map[string]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"pick": m.pick,
			"members": func(t *rapid.T) {
				m.listed = engines(rapid.IntRange(0, 9).Draw(t, "count"))
				for i := range m.listed {
					if rapid.IntRange(0, 5).Draw(t, "state") == 0 {
						m.listed[i].State = platform.Leaving
					}
				}
				m.b.SetMembers(m.listed, NodeRank{Count: 1}, m.now)
				m.leaving = map[string]bool{}
				for _, h := range m.b.order {
					m.leaving[h.vm.ID] = h.leavingByReport
				}
			},
			"done": func(t *rapid.T) {
				if len(m.inFlight) == 0 {
					t.Skip("nothing is out")
				}
				i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "which")
				r := Result{Outcome: Outcome(rapid.IntRange(0, 5).Draw(t, "outcome")), FirstToken: time.Second, Latency: 3 * time.Second, Tokens: 5}
				m.b.Done(m.inFlight[i].Token, r, m.now)
				m.b.Done(m.inFlight[i].Token, r, m.now)
				m.inFlight = slices.Delete(m.inFlight, i, i+1)
			},
			"report": func(t *rapid.T) {
				id := fmt.Sprintf("eng-%d", rapid.IntRange(0, 9).Draw(t, "id"))
				leaving := rapid.IntRange(0, 5).Draw(t, "leaving") == 0
				m.b.Report(id, upstream.LoadReport{
					Running: rapid.IntRange(0, 20).Draw(t, "running"), Limit: rapid.IntRange(0, 8).Draw(t, "limit"),
					Versions: []string{"v", "w"}[:rapid.IntRange(0, 2).Draw(t, "versions")], Leaving: leaving,
				}, m.now)
				if h := m.b.hosts[id]; h != nil {
					m.leaving[id] = h.leavingByReport
					if leaving && !h.leavingByReport {
						t.Fatalf("%s announced that it leaves, but is not marked so", id)
					}
				}
			},
			"poll failed": func(t *rapid.T) {
				m.b.PollFailed(fmt.Sprintf("eng-%d", rapid.IntRange(0, 9).Draw(t, "id")), m.now)
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				if n := len(m.b.NeedPoll(m.now)); n > pollBurst {
					t.Fatalf("NeedPoll returned %d upstreams at once", n)
				}
			},
			"": m.check,
		})
	})
}

// Fails if far more nodes select some upstreams than others. About equally many nodes
// select each upstream, 3 of 4 upstreams of a node are in its own failure domain if it
// has that many, and the removal of one upstream changes little.
func TestSubsetsAreEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 6).Draw(t, "domains")
		nodesPerDomain := rapid.IntRange(1, 40).Draw(t, "nodes of a domain")
		upstreams := domains * rapid.IntRange(1, 120).Draw(t, "upstreams of a domain")
		size := rapid.IntRange(8, 64).Draw(t, "size")
		vms := engines(upstreams)
		for i := range vms {
			vms[i].FailureDomain = fmt.Sprintf("domain-%d", i%domains)
		}
		all, _ := groupByRole(vms)
		removed := rapid.IntRange(0, upstreams-1).Draw(t, "gone")
		remaining := slices.Delete(slices.Clone(vms), removed, removed+1)
		nodesPerUpstream := map[string]int{}
		for d := range domains {
			for i := range nodesPerDomain {
				nodeRank := NodeRank{Index: i, Count: nodesPerDomain}
				domain := fmt.Sprintf("domain-%d", d)
				s := chooseSubset(slices.Clone(all), domain, nodeRank, size)
				checkSubset(t, s, domain, upstreams, min(size, upstreams))
				for _, m := range s.selected {
					nodesPerUpstream[m.vm.ID]++
				}
				remainingMembers, _ := groupByRole(remaining)
				after := chooseSubset(remainingMembers, domain, nodeRank, size)
				if moved := membersAdded(after, s); moved > 3 {
					t.Fatalf("removing one upstream added %d to a subset", moved)
				}
			}
		}
		least, most := 1<<30, 0
		for _, vm := range vms {
			least, most = min(least, nodesPerUpstream[vm.ID]), max(most, nodesPerUpstream[vm.ID])
		}
		// The windows of one failure domain's nodes cover each position of their ring
		// equally often, give or take one. Each domain has its own ring.
		if most-least > domains+1 {
			t.Fatalf("one upstream is selected by %d nodes, another by %d", least, most)
		}
	})
}

func checkSubset(t *rapid.T, s subset, domain string, upstreams, wantSize int) {
	if len(s.selected) != wantSize || len(s.selected)+len(s.unselected) != upstreams {
		t.Fatalf("selected %d and left %d of %d upstreams", len(s.selected), len(s.unselected), upstreams)
	}
	own := 0
	seen := map[string]bool{}
	for _, m := range s.selected {
		if seen[m.vm.ID] {
			t.Fatalf("%s is selected twice", m.vm.ID)
		}
		seen[m.vm.ID] = true
		if m.vm.FailureDomain == domain {
			own++
		}
	}
	total := 0
	for _, m := range append(slices.Clone(s.selected), s.unselected...) {
		if m.vm.FailureDomain == domain {
			total++
		}
	}
	if own < min(total, wantSize*ownDomainNumerator/ownDomainDenominator) {
		t.Fatalf("%d of %d selected upstreams are in the node's own failure domain", own, wantSize)
	}
}

func membersAdded(a, b subset) int {
	n := 0
	for _, m := range a.selected {
		if !slices.ContainsFunc(b.selected, func(o member) bool { return o.vm.ID == m.vm.ID }) {
			n++
		}
	}
	return n
}
