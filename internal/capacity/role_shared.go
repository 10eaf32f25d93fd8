package capacity

import (
	"fmt"
	"math"

	"github.com/hickorybank/hickorybank/internal/rollout"
)

// Intervals of package admission in seconds: of a node's reports to the collector of its failure
// domain, and of a collector's reports to the holder of an organisation.
const (
	limitReportInterval = 2.0
	limitSumInterval    = 3.0
)

// limits is the exchange of rate shares. A domain's collector reports every limited organisation
// that is active on any of its nodes; its holder gets a report from each collector.
func (c *calc) limits() Role {
	limited := c.Assume.ActiveOrganisations * c.Assume.Limited
	known := c.Assume.Organisations * c.Assume.Limited
	group, domains := c.Size.perDomain(), float64(c.Size.FailureDomains)
	reporting := func(made, answered, orgs float64) Cost {
		return c.peerCalls(made/limitReportInterval, answered/limitReportInterval, c.at("limits.exchange", orgs), c.at("limits.exchange.bytes", orgs))
	}
	asking := func(made, answered float64) Cost {
		return c.peerCalls(made/limitSumInterval, answered/limitSumInterval, c.at("limits.exchange", 1), c.at("limits.exchange.bytes", 1))
	}
	// A collector keeps the same state as a holder, for the nodes of its domain.
	dividing := Cost{
		Processor: processor(group*limited/limitReportInterval, c.at("admission.summarise", group)),
		Memory:    c.memory(known * c.at("admission.holder.heap", group)),
	}
	holding := Cost{
		Processor: processor(domains/limitSumInterval, c.at("admission.summarise", domains)),
		Memory:    c.memory(c.at("admission.holder.heap", domains)),
	}
	computing := Cost{Processor: processor(1/limitReportInterval, c.at("admission.summaries", 2)*limited/activeOrgs)}
	own := reporting(1, 0, limited).Plus(computing)
	collecting := reporting(0, group, limited).Plus(asking(known, 0)).Plus(dividing)
	holders := asking(0, domains).Plus(holding)
	nodes := float64(c.Size.Nodes)
	each := own.Plus(collecting.Times(domains / nodes)).Plus(holders.Times(known / nodes))
	// Assumed: nodes report only changes, a fifth of all, and a holder serves one of 16 groups of
	// organisations.
	const changing, groups = 0.2, 16.0
	changedOnly := reporting(0, group, changing*limited)
	grouped := c.peerCalls(groups/limitSumInterval, 0, c.at("limits.exchange", known/groups), c.at("limits.exchange.bytes", known/groups))
	mended := reporting(1, 0, changing*limited).Plus(computing).Plus(changedOnly.Plus(grouped).Plus(dividing).Times(domains / nodes)).Plus(holders.Times(known / nodes))
	return Role{
		Name: "limits of organisations", Plane: Control,
		State:     fmt.Sprintf("shares of %.0f limited organisations that are active here; at a collector, of %.0f and %.0f nodes", limited, known, group),
		Mechanism: fmt.Sprintf("a message of all organisations each %.0f s to the failure domain's collector, which asks each organisation's holder each %.0f s and divides the domain's share; package admission", limitReportInterval, limitSumInterval),
		Average:   each, Busiest: own.Plus(collecting), BusiestNode: "a failure domain's collector",
		OverBudget: fmt.Sprintf("The collector hears of %.0f organisations from each of %.0f nodes and asks %.0f holders one by one. Met in part if nodes named only what changed (a fifth, say) and holders were of %.0f groups of organisations: %.1f kB/s at a collector then.",
			limited, group, known, groups, changedOnly.Plus(grouped).Network/kilobyte),
		Mitigated: mended,
	}
}

// Copied from package choice/share, in seconds: the intervals of a node's reports in a large
// group, of writing a group's row and reading the others', and of reading holds, by one node of a
// group and by every node.
const (
	largeGroupReportInterval = 60.0
	archiveInterval          = 60.0
	holdScanInterval         = 2.0
	allNodesScanInterval     = 60.0
)

// summaries is the exchange of quality summaries of versions between nodes.
func (c *calc) summaries() Role {
	versions, classes := float64(c.Size.Versions), c.Assume.Classes
	cells := versions * classes
	group := c.Size.perDomain()
	// The expected number of distinct collectors; some collect for several versions.
	collectors := group * (1 - math.Pow(1-1/group, versions))
	each := cells / collectors
	calls := collectors / largeGroupReportInterval
	const ratings = 2.0 // maximum per second at a node; package choice
	changed := min(1, ratings*largeGroupReportInterval/cells)
	answered := min(1, (group-1)*changed)
	sent := each * (changed + answered) / 2 // mean of both directions
	exchange := c.peerCalls(calls, calls, c.at("share.report", sent), c.at("share.report.bytes", sent))
	const answerEvery = 5 // reports, with the proposed change
	rarer := each * (changed + answered/answerEvery) / 2
	own := Cost{Memory: c.memory(c.at("choice.heap", cells))}
	collected := classes * (changed + answered) / 2
	collecting := c.peerCalls(0, group/largeGroupReportInterval, c.at("share.report", collected), c.at("share.report.bytes", collected))
	collecting.Memory = c.memory(c.at("choice.collector.heap", group))
	archives := versions * float64(c.Size.FailureDomains) / archiveInterval
	row := classes * c.perUnit("choice.summary.bytes")
	archive := c.calls(1/archiveInterval, 0, float64(c.Size.FailureDomains)*c.at("table.get.bytes", row)).Plus(c.calls(1/archiveInterval, 0, c.at("table.commit.bytes", row)))
	shared := archive.Times(versions * float64(c.Size.FailureDomains) / float64(c.Size.Nodes))
	scans := float64(c.Size.FailureDomains)/holdScanInterval + float64(c.Size.Nodes)/allNodesScanInterval
	scanning := c.calls(scans/float64(c.Size.Nodes), c.at("table.get", headBytes), c.at("table.get.bytes", headBytes))
	rest := own.Plus(shared).Plus(scanning)
	return Role{
		Name: "version choice: what is known of quality, and holds", Plane: Control,
		State:     fmt.Sprintf("%.0f cells: %.0f versions by %.0f classes, with their scores' distribution", cells, versions, classes),
		Mechanism: fmt.Sprintf("the changed cells every %.0f s to a collector for each version in groups of a failure domain, a row a minute for each version and group; package choice/share", largeGroupReportInterval),
		Average:   exchange.Plus(rest), Busiest: exchange.Plus(rest).Plus(collecting).Plus(archive), BusiestNode: "the collector of a version more than others",
		Writes: archives, Reads: archives + scans,
		OverBudget: fmt.Sprintf("A report holds the cells that got ratings since the last, at most %.0f of %.0f in %.0f s, an answer those that others' ratings changed: %.0f %% of them, %.0f B a cell. Met if only each %dth answer held cells.",
			changed*cells, cells, largeGroupReportInterval, 100*answered, c.perUnit("choice.summary.bytes"), answerEvery),
		Mitigated: c.peerCalls(calls, calls, c.at("share.report", rarer), c.at("share.report.bytes", rarer)).Plus(rest),
	}
}

// suspects is the protection against requests that crash upstreams.
func (c *calc) suspects() Role {
	const known = 16
	nodes := float64(c.Size.Nodes)
	half := c.perUnit("suspect.messages") / 2
	quiet := c.peerCalls(half, half, c.at("suspect.call", 0), c.at("suspect.call.bytes", 0)).Times(2)
	quiet.Processor += processor(1, c.at("suspect.second", nodes))
	quiet.Memory = c.memory(c.at("suspect.heap", known))
	return Role{
		Name: "requests that crash upstreams", Plane: Control,
		State:     fmt.Sprintf("a fingerprint and its crashes for each suspect, at most 1,024; %.0f peers", nodes),
		Mechanism: fmt.Sprintf("each node pulls from a neighbour twice a second; news goes along a ring with chords, a suspect's run needs ten votes; package suspect. A crash with 16 requests in flight costs each node %s messages", formatShort(c.perUnit("suspect.alarm"))),
		Average:   quiet,
	}
}

// watchers is the number of nodes that watch the rollout row; copied from package rollout.
const watchers = 3

// rollouts is the cost of rollouts, which one node drives at a time.
func (c *calc) rollouts() Role {
	s := rollout.Settings{}.WithDefaults()
	runners := float64(c.Size.Runners)
	row := c.at("rollout.row.bytes", runners)
	renewal := 3 / s.Lease.Seconds()
	writes := renewal + c.Assume.RolloutSteps/secondsPerDay
	const questions = 2 // requests per engine: state and load
	asking := c.calls(questions*s.ReadsPerSecond, c.at("poll.report", 2), c.at("poll.report.bytes", 2))
	driving := asking.Plus(c.calls(writes, c.at("table.commit", row), c.at("table.commit.bytes", row)))
	driving.Processor += processor(1, c.at("rollout.second", runners))
	driving.Memory = c.memory(c.at("rollout.heap", runners))
	watching := c.calls(renewal, c.at("table.get", row), c.at("table.get.bytes", row))
	each := driving.Plus(watching.Times(watchers)).Times(1 / float64(c.Size.Nodes))
	const loadSeconds = 60.0
	half := runners * s.ServingPart
	most := max(s.InitialLoads, min(s.MaxLoads, int(s.MaxLoadsPart*runners)))
	return Role{
		Name: "roll-outs: the driver", Plane: Control,
		State:     fmt.Sprintf("what each of %.0f engines has; one row of %s", runners, formatBytes(row)),
		Mechanism: fmt.Sprintf("one node holds the row by conditional writes, %d others watch it; it asks %.0f engines a second and lets %d to %d load at a time, as the weight store bears; package rollout", watchers, s.ReadsPerSecond, s.InitialLoads, most),
		Average:   each, Busiest: driving, BusiestNode: "the driver",
		Writes: writes, Reads: watchers * renewal,
		OverBudget: fmt.Sprintf("The driver asks all engines by itself: a round takes %.0f s. With at most %d loads at a time and a minute each, a version that half of the engines are to have needs at least %.0f minutes. Met by taking the states from the load reports that all nodes ask for anyway, added up in each failure domain.", runners/s.ReadsPerSecond, most, half/float64(most)*loadSeconds/60),
		Mitigated:  each,
	}
}
