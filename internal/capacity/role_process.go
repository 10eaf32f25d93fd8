package capacity

import (
	"fmt"
	"math"

	"github.com/hickorybank/hickorybank/internal/telemetry"
)

// idleSeconds is the time after which package peer closes an idle connection.
const idleSeconds = 60

const telemetryBound = telemetry.DefaultRequests

// process is the base cost of any process of the program.
func (c *calc) process() Role {
	return Role{
		Name: "the process itself", Plane: Control,
		State:     "program text and runtime, resident",
		Mechanism: "one binary",
		Average:   Cost{Memory: c.at("process.resident", 0)},
	}
}

// idleTimers is the cost of an idle node beyond the separately measured roles.
func (c *calc) idleTimers() Role {
	idle := processor(1, c.perUnit("node.idle"))
	// The measurement has one engine, which is polled once per second.
	polls := processor(1, c.at("poll.report", docVersions))
	known := processor(1, c.perUnit("confsync.fleet")) + polls + processor(1, c.perUnit("suspect.messages")/2*c.at("suspect.call", 0))
	return Role{
		Name: "timers", Plane: Control,
		State:     "none",
		Mechanism: fmt.Sprintf("each duty looks several times a second for what is due: an idle node takes %s of a core, of which %s are in other lines", formatPercent(idle), formatPercent(known)),
		Average:   Cost{Processor: max(0, idle-known)},
	}
}

func (c *calc) metrics() Role {
	return Role{
		Name: "metrics", Plane: Control,
		State:     fmt.Sprintf("%.0f pairs of organisation and class, the rest as “other”", c.pairs()),
		Mechanism: "VictoriaMetrics/metrics with bounded label sets; package telemetry",
		Average:   Cost{Memory: c.memory(c.at("telemetry.heap", c.pairs()))},
	}
}

func (c *calc) addresses() Role {
	rate := c.Size.perNode(c.Assume.Callers / c.Assume.AddressTTL)
	return Role{
		Name: "callers: which addresses to use", Plane: Control, PerRequest: true,
		State:     "the members' states; nothing for each caller",
		Mechanism: "GET /v1/addresses, answered from the node's own picture; package membership",
		Average:   c.calls(rate, c.at("http.get", 0)+c.at("membership.addresses", float64(c.Size.Nodes)), c.Assume.AddressBytes),
	}
}

func (c *calc) loadReports() Role {
	const versionsLoaded = 2
	rate := c.Assume.PollsPerSecond
	return Role{
		Name: "upstreams: load reports", Plane: Control,
		State:     fmt.Sprintf("%.0f upstreams dealt with of %d known", c.Assume.Subset, c.Size.Runners),
		Mechanism: fmt.Sprintf("subsets and a bounded rate of polls; package balance. A runner is asked %.1f times a second by %.0f nodes", rate*float64(c.Size.Nodes)/float64(c.Size.Runners), c.Assume.Subset*float64(c.Size.Nodes)/float64(c.Size.Runners)),
		Average:   c.calls(rate, c.at("poll.report", versionsLoaded)+c.at("balance.poll", float64(c.Size.Runners)), c.at("poll.report.bytes", versionsLoaded)),
	}
}

// connections counts those used within the last minute, because idle ones are closed after a
// minute.
func (c *calc) connections() Role {
	nodes := float64(c.Size.Nodes)
	end := c.perUnit("peer.connection.heap") / 2
	// Parent and children, both directions of the suspect ring, the collectors of one minute,
	// the batchers of two minutes of logs, the collector of limits, and both ends of the
	// requests from collectors to holders for the domains' shares.
	const family, buckets, limitEnds = 5, 2, 2
	ring := 2 * math.Floor(math.Log2(nodes)+1)
	collectors := min(idleSeconds/collectEpoch, c.Size.perDomain())
	batchers := buckets * c.claimFigures().batchers
	domains := float64(c.Size.FailureDomains)
	used := family + ring + collectors + batchers + 1 + limitEnds*c.Assume.Organisations*c.Assume.Limited*domains/nodes
	return Role{
		Name: "connections between nodes", Plane: Control,
		State:     fmt.Sprintf("%s of heap and stack for each end", formatBytes(end)),
		Mechanism: fmt.Sprintf("net/rpc over TCP connections that are closed when idle for a minute, about %.0f at a time; package peer", used),
		Average:   Cost{Memory: c.memory(used * end)},
		Busiest:   Cost{Memory: c.memory((used + nodes) * end)}, BusiestNode: "a batcher of claims, which all nodes call in its minute",
		OverBudget: fmt.Sprintf("All %.0f nodes that have claims call a log's batcher by themselves, so that it holds a connection from each for its minute and the next. Met by passing claims through the failure domain's collector, as bills are: %.0f connections then.", nodes, domains),
		Mitigated:  Cost{Memory: c.memory(used * end)},
	}
}

// administration is the cost of operators' changes.
func (c *calc) administration() Role {
	rate := c.Size.Changes / secondsPerDay
	// A change writes the head, the document, a log record and its ID in one transaction, and
	// reads the head and the ID's row.
	const reads = 2
	doc := c.at("config.bytes", c.Assume.Organisations)
	each := c.calls(c.Size.perNode(rate), c.at("table.commit", doc), c.at("table.commit.bytes", doc))
	return Role{
		Name: "operators: changes", Plane: Control,
		State:     "none",
		Mechanism: "one conditional transaction a change; package admin",
		Average:   each, Reads: reads * rate, Writes: rate,
	}
}
