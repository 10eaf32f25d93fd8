package capacity

import (
	"fmt"
	"math"

	"github.com/hickorybank/hickorybank/internal/ledger"
)

func ledgerSettings() ledger.Settings { return ledger.DefaultSettings() }

// base64Growth is the growth of a row's bytes in JSON.
const base64Growth = 4.0 / 3

// claimFigures are the rates of claims, per second over all nodes.
type claimFigures struct {
	timed  float64
	opaque float64
	// ops counts the entries of timed keys: a claim and a settlement each.
	ops float64
	// batchers is the number of timed logs that are written at one time.
	batchers float64
	// gap is the time between two rows of one log, in seconds.
	gap float64
}

func (c *calc) claimFigures() claimFigures {
	s := ledgerSettings()
	all := c.Size.Requests * c.Assume.Unrepeatable
	tables := float64(c.Tables)
	f := claimFigures{timed: all * c.Assume.Timed, opaque: all * (1 - c.Assume.Timed)}
	f.ops = 2 * f.timed
	f.batchers = float64(s.Layout.Shards) * tables
	f.gap = float64(s.Layout.Shards) / (s.ClaimWritesPerSecond / 2)
	return f
}

// claimOps returns the cost of sending and of receiving claims and settlements, in operations
// per second.
func (c *calc) claimOps(sent, taken float64) Cost {
	claims := c.peerCalls(sent/2, taken/2, c.at("ledger.claim", 1), c.at("ledger.claim.bytes", 1))
	settles := c.peerCalls(sent/2, taken/2, c.at("ledger.settle", c.Assume.Answer), c.at("ledger.settle.bytes", c.Assume.Answer))
	return claims.Plus(settles)
}

func (c *calc) claims() Role {
	s := ledgerSettings()
	f := c.claimFigures()
	taken := f.ops / f.batchers
	perRow := taken * f.gap
	rowBytes := (c.at("claim.row.bytes", perRow/2) + c.at("claim.settle.bytes", perRow/2)) / 2
	batching := c.claimOps(0, taken).Plus(c.calls(1/f.gap, c.at("table.commit", rowBytes), c.at("table.commit.bytes", rowBytes)))
	batching.Processor += processor(taken/2, c.perUnit("claim.batch"))
	keys := min(float64(s.MaxKeys), f.timed/f.batchers*2*s.Layout.ClaimBucket.Seconds())
	batching.Memory = c.memory(keys * c.perUnit("claim.heap"))
	sent := c.Size.perNode(f.ops)
	calling := c.claimOps(sent, 0)
	// The ledger fleet measurement, under bills, includes the processor time of the calls.
	// But each call ranks all nodes to find its batcher, as a bill does for its collector.
	calling.Processor = processor(sent, c.perUnit("ledger.bill")*float64(c.Size.Nodes))
	share := f.batchers / float64(c.Size.Nodes)
	return Role{
		Name: "claims: work that may not be repeated", Plane: Control, PerRequest: true,
		State:     fmt.Sprintf("at a batcher %s keys of the last two buckets of %v", formatShort(keys), s.Layout.ClaimBucket),
		Mechanism: fmt.Sprintf("append-only logs of conditional rows, %d for a table, one row each %.0f ms; each log is batched by the first node in rendezvous order; package ledger/claim", s.Layout.Shards, 1000*f.gap),
		Average:   calling.Plus(batching.Times(share)), Busiest: calling.Plus(batching),
		BusiestNode: fmt.Sprintf("a log's batcher, %.0f nodes, with %.0f claims and settlements a second", f.batchers, taken),
		Writes:      s.ClaimWritesPerSecond * float64(c.Tables), Reads: f.batchers / s.Layout.ClaimBucket.Seconds(),
		OverBudget: c.claimsOver(f, s),
	}
}

func (c *calc) claimsOver(f claimFigures, s ledger.Settings) string {
	perOp := c.claimOps(0, 1).Network
	fits := math.Ceil(f.ops * perOp / (c.Budget.Network / 2) / float64(c.Tables))
	gap := fits / (s.ClaimWritesPerSecond / 2)
	kept := f.opaque * c.Assume.DayMean * s.Window.Seconds()
	return fmt.Sprintf("The duty sits on few nodes. With %.0f logs a table no batcher takes more than half of 6 kB/s, but on the same writes a log is then written every %.1f s, for half of which each claim waits. Every percent of requests that may not be repeated costs an average node %s/s: only fewer of them, or larger nodes, help there. "+
		"Keys without a time do not fit: %.0f a second, kept for %v, are %.0f million in logs without end, %.0f MB in each of %d logs a table. At this size such keys would have to be refused.",
		fits, gap, formatBytes(0.01*c.Size.perNode(c.Size.Requests)*2*perOp), f.opaque, s.Window, kept/1e6, kept/float64(s.Layout.OpaqueShards*c.Tables)*c.perUnit("claim.heap")/megabyte, s.Layout.OpaqueShards)
}

// billFigures are the rates of bills.
type billFigures struct {
	// gap is the time between two rows of a failure domain, in seconds.
	gap float64
	// perNode and perDomain are bills per second.
	perNode   float64
	perDomain float64
	// messages per second from a node to its collector; bills is the number of bills in each.
	messages float64
	bills    float64
}

// Copied from package ledger: maxSends is the number of bill messages that a node has in flight,
// and collectEpoch the seconds for which one node collects. rowWrites is the assumed duration of
// writing a row in seconds.
const (
	maxSends     = 2
	collectEpoch = 5
	rowWrites    = 0.01
)

func (c *calc) billFigures(sends float64) billFigures {
	// Each table has its own write budget and serves the failure domains of its region.
	domains := float64(c.Size.FailureDomains) / float64(c.Tables)
	f := billFigures{gap: domains / ledgerSettings().BillWritesPerSecond}
	f.perNode = c.Size.perNode(c.Size.Requests)
	f.perDomain = f.perNode * c.Size.perDomain()
	wait := f.gap/2 + rowWrites
	f.messages = min(f.perNode, sends/wait)
	f.bills = f.perNode / f.messages
	return f
}

// billing returns the cost of a node that sends its bills, and of one that collects for its
// failure domain.
func (c *calc) billing(f billFigures) (sending, collecting Cost) {
	ns, bytes := c.at("ledger.collect", f.bills), c.at("ledger.collect.bytes", f.bills)
	sending = c.peerCalls(f.messages, 0, ns, bytes)
	perRow := f.perDomain * f.gap
	row := c.at("bill.bytes", perRow)
	collecting = c.peerCalls(0, f.messages*c.Size.perDomain(), ns, bytes).
		Plus(c.calls(1/f.gap, c.at("table.commit", row)+c.at("bill.pack", perRow), c.at("table.commit.bytes", row)))
	collecting.Memory = c.memory(c.at("bill.heap", perRow))
	return sending, collecting
}

func (c *calc) bills() Role {
	f := c.billFigures(maxSends)
	sending, collecting := c.billing(f)
	// The cost of a whole ledger with its goroutines and claims, measured in one process, and
	// of ranking all nodes to find the collector.
	whole := processor(1, c.perUnit("ledger.fleet"))
	finding := processor(f.messages, c.perUnit("ledger.bill")*float64(c.Size.Nodes))
	share := 1 / c.Size.perDomain()
	each := sending.Plus(collecting.Times(share))
	each.Processor = whole + finding
	busiest := sending.Plus(collecting)
	busiest.Processor += whole + finding
	single, alone := c.billing(c.billFigures(1))
	mended := single.Plus(alone.Times(share))
	mended.Processor = whole
	return Role{
		Name: "bills", Plane: Control, PerRequest: true,
		State:     fmt.Sprintf("at a collector %.0f bills of one gap", f.perDomain*f.gap),
		Mechanism: fmt.Sprintf("a node sends its bills to its failure domain's collector, which changes every %d s and writes a row each %.0f ms; package ledger/bill", collectEpoch, 1000*f.gap),
		Average:   each, Busiest: busiest, BusiestNode: "a collector", Mitigated: mended,
		Writes: float64(c.Size.FailureDomains) / f.gap,
		OverBudget: fmt.Sprintf("Bills grow with requests: %.0f B each, %s/s at a node before any header, so that two passages (to the collector, to the table) are %.0f %% of the budget. %.1f messages a second carry %.1f bills each; one message out at a time in place of %d would carry more. The collector's part can only be spread, by more collectors and so more and smaller rows. The look for the collector costs %s of a core at %d nodes: the members seen are ranked twice a second, and no longer for each message. Whether bills count as control should be asked.",
			c.perUnit("bill.bytes"), formatBytes(f.perNode*c.perUnit("bill.bytes")), 200*f.perNode*c.perUnit("bill.bytes")/c.Budget.Network, f.messages, f.bills, maxSends, formatPercent(finding), c.Size.Nodes),
	}
}

// billBucket returns the span of bills that are settled together, in seconds.
func billBucket() float64 { return ledgerSettings().Layout.BillBucket.Seconds() }

// From package ledger: the rows that a scan reads, and the cost of a key while a bucket is summed
// up, in bytes and nanoseconds, from its settling benchmark.
const (
	settleScanRows = 200
	settleKeyBytes = 9
	settleKeyTime  = 350
)

// billSettling is the janitor. One node per minute deletes old claims and settles closed buckets
// of bills, row by row, in as many parts as the memory bound requires.
func (c *calc) billSettling() Role {
	f := c.billFigures(maxSends)
	s := ledgerSettings()
	tables := float64(c.Tables)
	rows := float64(c.Size.FailureDomains) / f.gap * billBucket()
	keys := c.Size.Requests * c.Assume.DayMean * billBucket()
	parts := math.Exp2(math.Max(0, math.Ceil(math.Log2(keys/tables/float64(s.MaxSummaryKeys)))))
	bucketBytes := keys * c.perUnit("bill.bytes") * base64Growth
	shards := float64((s.Layout.Shards + s.Layout.OpaqueShards) * c.Tables)
	// A part reads the whole bucket but keeps only its own keys.
	perPart := Cost{Network: bucketBytes, Messages: 2 * rows / settleScanRows, Processor: processor(1, keys*(c.perUnit("bill.pack")+settleKeyTime/parts))}
	// Each row is read once more and merged into one row for a page of rows, which are then
	// deleted.
	pages := rows / settleScanRows
	pruning := Cost{Network: 2 * bucketBytes, Messages: 6 * pages, Processor: processor(2, keys*c.perUnit("bill.pack"))}
	perBucket := perPart.Times(parts).Plus(pruning)
	peak := perPart.Times(1 / s.Janitor.Seconds() / tables)
	held := keys / tables / parts
	peak.Memory = c.memory(held * settleKeyBytes)
	bounded := float64(s.MaxSummaryKeys) / (c.Size.Requests / tables * c.Assume.DayMean)
	return Role{
		Name: "settling of bills", Plane: Control, PerRequest: true,
		State:     fmt.Sprintf("while it settles, hashes of the keys of a part of a bucket of %v: %.1f million; the bucket has %s", s.Layout.BillBucket, held/1e6, formatBytes(bucketBytes)),
		Mechanism: fmt.Sprintf("one node in rendezvous order a minute deletes old claims and adds closed buckets up, row by row; a bucket of more than %.0f million keys in parts, here %.0f, each a step of any node, and moves rows to the object store after %v; package ledger", float64(s.MaxSummaryKeys)/1e6, parts, s.PruneAfter),
		Average:   perBucket.Times(1 / billBucket() / float64(c.Size.Nodes)),
		Busiest:   peak, BusiestNode: "the janitor while it settles a part",
		Reads:      (parts+2)*pages/billBucket() + 2*shards/s.Janitor.Seconds(),
		Writes:     (1+parts+2*pages)/billBucket() + shards/3600,
		Mitigated:  perPart.Plus(pruning).Times(1 / billBucket() / float64(c.Size.Nodes)),
		OverBudget: fmt.Sprintf("Each part reads the bucket whole: %.0f parts read it %.0f times. Buckets of up to %.0f s have one part, at this rate.", parts, parts, bounded),
	}
}
