package capacity

import (
	"fmt"
)

// ratePeriod is the time between two summaries of organisations' limits, in
// seconds; package admission.
const ratePeriod = 1.0

func (c *calc) limits() Role {
	limited := c.Assume.ActiveOrganisations * c.Assume.Limited
	ns, bytes := c.at("limits.exchange", 1), c.at("limits.exchange.bytes", 1)
	all := float64(c.Size.Nodes)
	computing := processor(1/ratePeriod, c.at("admission.summaries", all)*limited/activeOrgs)
	own := Cost{Processor: computing, Memory: c.memory(limited * c.at("admission.holder.heap", all) * c.Assume.Organisations / all / c.Assume.ActiveOrganisations)}
	holding := processor(all/ratePeriod, c.at("admission.summarise", all))
	busiest := c.peerCalls(limited/ratePeriod, all/ratePeriod, ns, bytes).Plus(own).Plus(Cost{Processor: holding, Memory: c.memory(c.at("admission.holder.heap", all))})
	// A node tells its failure domain's one node of all its organisations.
	const mendedPeriod = 10.0
	up := c.peerCalls(1/mendedPeriod, 1/mendedPeriod, c.at("limits.exchange", limited), c.at("limits.exchange.bytes", limited))
	byDomain := c.peerCalls(limited/ratePeriod/10, float64(c.Size.FailureDomains)/ratePeriod/10, ns, bytes)
	return Role{
		Name: "limits of organisations", Plane: Control,
		State:     fmt.Sprintf("shares of %.0f limited organisations that are active here", limited),
		Mechanism: "a holder for each organisation by rendezvous hash divides its limit by demand every second; package admission",
		Each:      c.peerCalls(limited/ratePeriod, limited/ratePeriod, ns, bytes).Plus(own), Busiest: busiest,
		Who:    "the holder of an organisation that every node serves",
		Over:   fmt.Sprintf("A message for each active limited organisation and second. Met if summaries are added up in each failure domain first and exchanged every 10 s: the holder then answers %.1f calls a second, %.1f kB/s.", float64(c.Size.FailureDomains)/ratePeriod/10, byDomain.Network/kilobyte),
		Mended: up.Plus(own.Times(1 / mendedPeriod)),
	}
}

// summaryPeriod is the time between two exchanges of summaries, in seconds.
const summaryPeriod = 60.0

func (c *calc) summaries() Role {
	cells := float64(c.Size.Versions) * c.Assume.Classes
	bytes := c.at("choice.summary.bytes", cells)
	// Each version has its collector, to which a node sends that version's
	// cells and gets the pool back: two summaries' bytes for each version.
	exchange := c.peerCalls(0.5/summaryPeriod, 0.5/summaryPeriod, c.at("choice.merge", cells), 2*bytes)
	group := c.Size.perDomain()
	busiest := c.peerCalls(0, group/summaryPeriod, c.at("choice.merge", cells)/float64(c.Size.Versions), 2*bytes/float64(c.Size.Versions))
	own := Cost{Memory: c.memory(c.at("choice.heap", cells))}
	return Role{
		Name: "version choice: what is known of quality", Plane: Control,
		State:     fmt.Sprintf("%.0f cells: %d versions by %.0f classes, with their scores' distribution", cells, c.Size.Versions, c.Assume.Classes),
		Mechanism: fmt.Sprintf("cumulative summaries to a collector for each version in groups of a failure domain, every %.0f s (assumed: the exchange is not built yet); package choice", summaryPeriod),
		Each:      exchange.Plus(own),
		Busiest:   busiest.Plus(exchange).Plus(own).Plus(Cost{Memory: c.memory(c.at("choice.collector.heap", group))}), Who: "the collector of a version",
	}
}

// suspects is the guard against requests that crash upstreams.
func (c *calc) suspects() Role {
	const known = 16
	nodes := float64(c.Size.Nodes)
	half := c.per("suspect.messages") / 2
	quiet := c.peerCalls(half, half, c.at("suspect.call", 0), c.at("suspect.call.bytes", 0)).Times(2)
	quiet.Processor += processor(1, c.at("suspect.second", nodes))
	quiet.Memory = c.memory(c.at("suspect.heap", known))
	return Role{
		Name: "requests that crash upstreams", Plane: Control,
		State:     fmt.Sprintf("a fingerprint and its crashes for each suspect, at most 1,024; %.0f peers", nodes),
		Mechanism: fmt.Sprintf("each node pulls from a neighbour twice a second; news goes along a ring with chords, a suspect's run needs ten votes; package suspect. A crash with 16 requests in flight costs each node %s messages", short(c.per("suspect.alarm"))),
		Each:      quiet,
	}
}

// rollouts is one that is under way on most days.
func (c *calc) rollouts() Role {
	writes := c.Assume.RolloutSteps / secondsPerDay
	step := c.calls(writes, c.at("table.commit", headBytes), c.at("table.commit.bytes", headBytes))
	return Role{
		Name: "roll-outs: the driver", Plane: Control,
		State:     "one row a roll-out: stage, share, what was ordered where",
		Mechanism: "any node drives, each step conditional on the last; package rollout. Only its rows are in these figures",
		Each:      step.Times(1 / float64(c.Size.Nodes)), Busiest: step, Who: "the driver",
		Writes: writes, Reads: writes,
	}
}
