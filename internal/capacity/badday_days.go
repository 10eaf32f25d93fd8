package capacity

import (
	"fmt"
)

func (c *calc) badDays() []BadDay {
	return []BadDay{c.ordinaryDay(), c.rackLost(), c.failureDomain(), c.regionsPartitioned(), c.platformOutage()}
}

// entryShare returns the fraction of VMs that are entry nodes.
func (c *calc) entryShare() float64 { return float64(c.Size.Nodes) / float64(c.Size.VMs()) }

// streamsPerRunner returns the number of concurrent answers on one runner.
func (c *calc) streamsPerRunner() float64 {
	return c.Size.Streams() * float64(c.Size.Nodes) / float64(c.Size.Runners)
}

func (c *calc) ordinaryDay() BadDay {
	entries := c.Size.Failures * c.entryShare()
	start := c.at("list.bytes", float64(c.Size.VMs())) + c.at("config.bytes", c.Assume.Organisations)
	return BadDay{Name: fmt.Sprintf("%.0f VMs lost and %.0f replaced in a day", c.Size.Failures, c.Size.Replacements), Lines: []string{
		fmt.Sprintf("Spread like the VMs, %.1f of the lost are entry nodes and %.1f are runners. A lost entry node cuts %.0f answers, a lost runner %.0f, which the nodes try to resume or run again.", entries, c.Size.Failures-entries, c.Size.Streams(), c.streamsPerRunner()),
		fmt.Sprintf("The list changes %.3f times a second; a change costs a node %.1f ms of processor time and %.0f B in and out of each parent.", c.listEdits(), c.listChange()/1e6, c.at("list.delta.bytes", float64(c.Size.VMs()))),
		fmt.Sprintf("A replaced entry node takes list and document whole from a peer, %.1f MB, and %.0f ms of processor time to read them.", start/megabyte, (c.at("list.decode", float64(c.Size.VMs()))+c.at("config.apply", c.Assume.Organisations))/1e6),
	}}
}

// rackVMs is the number of VMs behind one switch.
const rackVMs = 40

func (c *calc) rackLost() BadDay {
	nodes := rackVMs * c.entryShare()
	runners := rackVMs - nodes
	return BadDay{Name: fmt.Sprintf("A rack or switch lost: %d VMs", rackVMs), Lines: []string{
		fmt.Sprintf("%.1f entry nodes and %.1f runners go at once, with %.0f answers at the nodes and %.0f at the runners. Another node of the failure domain has %.1f of its %.0f upstreams fail.", nodes, runners, nodes*c.Size.Streams(), runners*c.streamsPerRunner(), runners/(float64(c.Size.Runners)/float64(c.Size.FailureDomains))*c.Assume.Subset*3/4, c.Assume.Subset),
		fmt.Sprintf("The list changes in one step: %.0f ms of processor time at each node, once.", c.listChange()/1e6),
	}}
}

func (c *calc) failureDomain() BadDay {
	domains := float64(c.Size.FailureDomains)
	nodes := c.Size.perDomain()
	runners := float64(c.Size.Runners) / domains
	claims := c.claimFigures()
	return BadDay{Name: "A failure domain lost", Lines: []string{
		fmt.Sprintf("%.0f entry nodes and %.0f runners go, with %.0f answers at the nodes and %.0f at the runners. The other nodes get %.1f %% more requests, %.1f a second in place of %.1f.", nodes, runners, nodes*c.Size.Streams(), runners*c.streamsPerRunner(), 100/(domains-1), c.Size.Requests/(float64(c.Size.Nodes)-nodes), c.Size.perNode(c.Size.Requests)),
		fmt.Sprintf("%.0f of %.0f caller processes have one of its addresses first; they keep an answer for %.0f s and have three others from other failure domains. New answers leave the lost nodes out as soon as they are suspects.", c.Assume.Callers/domains, c.Assume.Callers, c.Assume.AddressTTL),
		fmt.Sprintf("A node elsewhere has about %.1f of its %.0f upstreams there, so its subset hardly changes; no node is left that had most of its own there. The list changes once: %.0f ms of processor time at each node.", c.Assume.Subset/4/(domains-1), c.Assume.Subset, c.listChange()/1e6),
		fmt.Sprintf("%.0f requests were in flight at a runner that seems to have crashed. From the third loss within 2 s on, a node puts them down to the failure domain, so that at most two upstreams a node make suspects: about %.0f each of the few nodes that saw two. A node remembers 1,024.", runners*c.streamsPerRunner(), 2*c.streamsPerRunner()/(c.Assume.Subset*float64(c.Size.Nodes)/float64(c.Size.Runners))),
		fmt.Sprintf("Its bills that no store had yet, of one gap of %.0f ms, are lost with the nodes: their callers have not had the end of the answer. Of %.0f logs of claims %.1f need another batcher, which reads the last two buckets first.", 1000*c.billFigures(maxSends).gap, claims.batchers, claims.batchers/domains),
	}}
}

func (c *calc) regionsPartitioned() BadDay {
	region := c.Size.Requests / float64(c.Size.Regions)
	nodes := float64(c.Size.Nodes) / float64(c.Size.Regions)
	hour := region * c.Assume.Unrepeatable * hourSeconds
	return BadDay{Name: "Regions cut off from each other for an hour", Lines: []string{
		fmt.Sprintf("A region has %.0f nodes in %.1f failure domains and %.0f requests a second at the peak.", nodes, float64(c.Size.FailureDomains)/float64(c.Size.Regions), region),
		fmt.Sprintf("*One table for all regions,* as the code has it. A region that cannot reach it is no majority of the %d nodes, so that its proofs run out %v after the cut and it refuses new work, not run: %.1f %% of all requests, for as long as the cut lasts. Nothing runs under a withdrawn configuration, nothing runs twice. Answers under way have nowhere to put their bills: their holders are ranked among all nodes, of which %.0f in 100 are beyond the cut, and only the first six are tried. Read from the code, not run; met by ranking reachable failure domains first.", c.Size.Nodes, syncSettings().Bound, 100/float64(c.Size.Regions), 100-100/float64(c.Size.Regions)),
		fmt.Sprintf("*A table for each region, one of them for the configuration.* Claims and bills go on inside a region, and it still refuses after %v for want of a proof of the configuration. So this alone does not help a region that is cut off; it spreads writes and bytes.", syncSettings().Bound),
		"*A table and a head of the configuration for each region.* Each goes on; a change is then in force everywhere only when all heads have it, and is told as “not yet” while a region is cut off. A claim is known only in the region that has its table: an organisation needs a home region for work that may not be repeated.",
		fmt.Sprintf("Claims of an organisation whose home is cut off would be refused, not run: at most %.1f million in the hour.", hour/1e6),
	}}
}

const hourSeconds = 3600

func (c *calc) platformOutage() BadDay {
	const copies = 2
	s := ledgerSettings()
	f := c.billFigures(maxSends)
	perBill := c.perUnit("bill.row.heap")
	hold := c.at("ledger.hold.bytes", f.perDomain) / f.perDomain
	all := (1 + copies) * f.perNode * perBill
	bytes := (1 + copies) * f.perDomain * hold
	return BadDay{Name: "The platform out at the peak for an hour", Lines: []string{
		fmt.Sprintf("Without the table, bills go to the object store at %.0f puts a second. With both gone, a failure domain's collector keeps %.0f bills a second and has peers in two other failure domains hold copies: %s/s at the collector, %s/s in and out for each node on average.", float64(c.Size.FailureDomains)/f.gap, f.perDomain, formatBytes(bytes), formatBytes(2*copies*f.perNode*hold)),
		fmt.Sprintf("A node keeps at most %d bills of its failure domain and %d for others. A collector would be full after %.0f s, but the duty goes round every %d s: all nodes of a failure domain have room for %.0f minutes. The copies are full after %.0f minutes: from then on bills are not safe, answers end in a true error, and a node whose places are full refuses new work, not run.", s.MaxWaiting, s.MaxHeld, float64(s.MaxWaiting)/f.perDomain, collectEpoch, float64(s.MaxWaiting)*c.Size.perDomain()/f.perDomain/60, float64(s.MaxHeld)/(copies*f.perNode)/60),
		fmt.Sprintf("These places are %s of memory when full (%.0f B of heap a bill).", formatBytes(c.memory(float64(s.MaxWaiting+s.MaxHeld)*perBill)), perBill),
		fmt.Sprintf("An hour's bills, with both copies, are %s of heap a node, %s of memory. The 32 MB for control, if bills alone had them, are full after %.0f minutes; the hour needs %.1f times as much, or the object store.", formatBytes(all*hourSeconds), formatBytes(c.memory(all*hourSeconds)), c.Budget.Memory/c.memory(all)/60, c.memory(all*hourSeconds)/c.Budget.Memory),
		fmt.Sprintf("Claims: none can be granted, so that %.0f requests a second are refused, not run. Configuration: more than half of the nodes say that the table is out of reach and all go on under the highest revision among them; surveys go every %v through the failure domains. No change is accepted.", c.Size.Requests*c.Assume.Unrepeatable, syncSettings().SurveyInterval),
		fmt.Sprintf("Afterwards %.0f million bills go out in rows of up to 5,000 merged bills: %.0f rows, %.0f s at the budget for bills.", c.Size.Requests*hourSeconds/1e6, c.Size.Requests*hourSeconds/5000, c.Size.Requests*hourSeconds/5000/(ledgerSettings().BillWritesPerSecond*float64(c.Tables))),
	}}
}
