package capacity

import (
	"fmt"
	"math"

	"github.com/hickorybank/hickorybank/internal/rollout"
)

// Of package admission, in seconds: how often a node tells its failure domain's
// collector of its organisations, and a collector a holder of one.
const (
	collectGap = 2.0
	sumGap     = 3.0
)

// limits is the exchange of shares. A domain's collector asks for all limited
// organisations that are active at any of its nodes; a holder of one hears of
// it from each collector.
func (c *calc) limits() Role {
	limited := c.Assume.ActiveOrganisations * c.Assume.Limited
	known := c.Assume.Organisations * c.Assume.Limited
	group, domains := c.Size.perDomain(), float64(c.Size.FailureDomains)
	telling := func(made, answered, orgs float64) Cost {
		return c.peerCalls(made/collectGap, answered/collectGap, c.at("limits.exchange", orgs), c.at("limits.exchange.bytes", orgs))
	}
	asking := func(made, answered float64) Cost {
		return c.peerCalls(made/sumGap, answered/sumGap, c.at("limits.exchange", 1), c.at("limits.exchange.bytes", 1))
	}
	// The collector's books are like a holder's, with the domain's nodes.
	dividing := Cost{
		Processor: processor(group*limited/collectGap, c.at("admission.summarise", group)),
		Memory:    c.memory(known * c.at("admission.holder.heap", group)),
	}
	holding := Cost{
		Processor: processor(domains/sumGap, c.at("admission.summarise", domains)),
		Memory:    c.memory(c.at("admission.holder.heap", domains)),
	}
	reckoning := Cost{Processor: processor(1/collectGap, c.at("admission.summaries", 2)*limited/activeOrgs)}
	own := telling(1, 0, limited).Plus(reckoning)
	collecting := telling(0, group, limited).Plus(asking(known, 0)).Plus(dividing)
	holders := asking(0, domains).Plus(holding)
	nodes := float64(c.Size.Nodes)
	each := own.Plus(collecting.Times(domains / nodes)).Plus(holders.Times(known / nodes))
	// The nodes of a domain name only what changed, a fifth, and holders are of
	// groups of organisations, 16 in all.
	const changing, groups = 0.2, 16.0
	few := telling(0, group, changing*limited)
	grouped := c.peerCalls(groups/sumGap, 0, c.at("limits.exchange", known/groups), c.at("limits.exchange.bytes", known/groups))
	mended := telling(1, 0, changing*limited).Plus(reckoning).Plus(few.Plus(grouped).Plus(dividing).Times(domains / nodes)).Plus(holders.Times(known / nodes))
	return Role{
		Name: "limits of organisations", Plane: Control,
		State:     fmt.Sprintf("shares of %.0f limited organisations that are active here; at a collector, of %.0f and %.0f nodes", limited, known, group),
		Mechanism: fmt.Sprintf("a message of all organisations each %.0f s to the failure domain's collector, which asks each organisation's holder each %.0f s and divides the domain's share; package admission", collectGap, sumGap),
		Each:      each, Busiest: own.Plus(collecting), Who: "a failure domain's collector",
		Over: fmt.Sprintf("The collector hears of %.0f organisations from each of %.0f nodes and asks %.0f holders one by one. Met in part if nodes named only what changed (a fifth, say) and holders were of %.0f groups of organisations: %.1f kB/s at a collector then.",
			limited, group, known, groups, few.Plus(grouped).Network/kilobyte),
		Mended: mended,
	}
}

// Of package choice/share, in seconds: how often a node of a large group
// reports, a group's row is written and the others' are read, and holds are
// read by one node of a group and by every node.
const (
	reportGap   = 60.0
	archiveGap  = 60.0
	scanGap     = 2.0
	slowScanGap = 60.0
)

// summaries is the exchange of what nodes know of versions.
func (c *calc) summaries() Role {
	versions, classes := float64(c.Size.Versions), c.Assume.Classes
	cells := versions * classes
	group := c.Size.perDomain()
	// The versions' collectors, of which some have several.
	collectors := group * (1 - math.Pow(1-1/group, versions))
	each := cells / collectors
	calls := collectors / reportGap
	const ratings = 2.0 // a second at a node, at most; package choice
	changed := min(1, ratings*reportGap/cells)
	answered := min(1, (group-1)*changed)
	sent := each * (changed + answered) / 2 // the mean of both ways
	exchange := c.peerCalls(calls, calls, c.at("share.report", sent), c.at("share.report.bytes", sent))
	const answerEvery = 5 // reports, if met
	rarer := each * (changed + answered/answerEvery) / 2
	own := Cost{Memory: c.memory(c.at("choice.heap", cells))}
	collected := classes * (changed + answered) / 2
	collecting := c.peerCalls(0, group/reportGap, c.at("share.report", collected), c.at("share.report.bytes", collected))
	collecting.Memory = c.memory(c.at("choice.collector.heap", group))
	archives := versions * float64(c.Size.FailureDomains) / archiveGap
	row := classes * c.per("choice.summary.bytes")
	archive := c.calls(1/archiveGap, 0, float64(c.Size.FailureDomains)*c.at("table.get.bytes", row)).Plus(c.calls(1/archiveGap, 0, c.at("table.commit.bytes", row)))
	shared := archive.Times(versions * float64(c.Size.FailureDomains) / float64(c.Size.Nodes))
	scans := float64(c.Size.FailureDomains)/scanGap + float64(c.Size.Nodes)/slowScanGap
	scanning := c.calls(scans/float64(c.Size.Nodes), c.at("table.get", headBytes), c.at("table.get.bytes", headBytes))
	rest := own.Plus(shared).Plus(scanning)
	return Role{
		Name: "version choice: what is known of quality, and holds", Plane: Control,
		State:     fmt.Sprintf("%.0f cells: %.0f versions by %.0f classes, with their scores' distribution", cells, versions, classes),
		Mechanism: fmt.Sprintf("the changed cells every %.0f s to a collector for each version in groups of a failure domain, a row a minute for each version and group; package choice/share", reportGap),
		Each:      exchange.Plus(rest), Busiest: exchange.Plus(rest).Plus(collecting).Plus(archive), Who: "the collector of a version more than others",
		Writes: archives, Reads: archives + scans,
		Over: fmt.Sprintf("A report holds the cells that got ratings since the last, at most %.0f of %.0f in %.0f s, an answer those that others' ratings changed: %.0f %% of them, %.0f B a cell. Met if only each %dth answer held cells.",
			changed*cells, cells, reportGap, 100*answered, c.per("choice.summary.bytes"), answerEvery),
		Mended: c.peerCalls(calls, calls, c.at("share.report", rarer), c.at("share.report.bytes", rarer)).Plus(rest),
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

// watchers is how many nodes watch the row of roll-outs; package rollout.
const watchers = 3

// rollouts are brought about by one node at a time.
func (c *calc) rollouts() Role {
	s := rollout.Settings{}.WithDefaults()
	runners := float64(c.Size.Runners)
	row := c.at("rollout.row.bytes", runners)
	renewal := 3 / s.Lease.Seconds()
	writes := renewal + c.Assume.RolloutSteps/secondsPerDay
	const questions = 2 // the state and the load
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
		State:     fmt.Sprintf("what each of %.0f engines has; one row of %s", runners, amount(row)),
		Mechanism: fmt.Sprintf("one node holds the row by conditional writes, %d others watch it; it asks %.0f engines a second and lets %d to %d load at a time, as the weight store bears; package rollout", watchers, s.ReadsPerSecond, s.InitialLoads, most),
		Each:      each, Busiest: driving, Who: "the driver",
		Writes: writes, Reads: watchers * renewal,
		Over:   fmt.Sprintf("The driver asks all engines by itself: a round takes %.0f s. With at most %d loads at a time and a minute each, a version that half of the engines are to have needs at least %.0f minutes. Met by taking the states from the load reports that all nodes ask for anyway, added up in each failure domain.", runners/s.ReadsPerSecond, most, half/float64(most)*loadSeconds/60),
		Mended: each,
	}
}
