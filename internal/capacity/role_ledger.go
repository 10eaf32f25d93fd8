package capacity

import (
	"fmt"
	"math"

	"github.com/hickorybank/hickorybank/internal/ledger"
)

func ledgerSettings() ledger.Settings { return ledger.DefaultSettings() }

// base64Growth is what JSON makes of a row's bytes.
const base64Growth = 4.0 / 3

// claimFigures are the rates of claims, a second over all nodes.
type claimFigures struct {
	timed  float64
	opaque float64
	// ops are the entries of timed keys: a claim and its settlement each.
	ops float64
	// batchers are the timed logs that are written at one time.
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

// claimOps is what ops a second of claims and settlements cost a node that
// sends them and one that takes them.
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
	batching.Processor += processor(taken/2, c.per("claim.batch"))
	keys := min(float64(s.MaxKeys), f.timed/f.batchers*2*s.Layout.ClaimBucket.Seconds())
	batching.Memory = c.memory(keys * c.per("claim.heap"))
	sent := c.Size.perNode(f.ops)
	calling := c.claimOps(sent, 0)
	// The calls' processor time is in that of the whole ledger, with the
	// bills; but each looks for its batcher among all nodes, as a bill does
	// for its collector.
	calling.Processor = processor(sent, c.per("ledger.bill")*float64(c.Size.Nodes))
	share := f.batchers / float64(c.Size.Nodes)
	return Role{
		Name: "claims: work that may not be repeated", Plane: Control, PerRequest: true,
		State:     fmt.Sprintf("at a batcher %s keys of the last two buckets of %v", short(keys), s.Layout.ClaimBucket),
		Mechanism: fmt.Sprintf("append-only logs of conditional rows, %d for a table, one row each %.0f ms; each log is batched by the first node in rendezvous order; package ledger/claim", s.Layout.Shards, 1000*f.gap),
		Each:      calling.Plus(batching.Times(share)), Busiest: calling.Plus(batching),
		Who:    fmt.Sprintf("a log's batcher, %.0f nodes, with %.0f claims and settlements a second", f.batchers, taken),
		Writes: s.ClaimWritesPerSecond * float64(c.Tables), Reads: f.batchers / s.Layout.ClaimBucket.Seconds(),
		Over: c.claimsOver(f, s),
	}
}

func (c *calc) claimsOver(f claimFigures, s ledger.Settings) string {
	perOp := c.claimOps(0, 1).Network
	fits := math.Ceil(f.ops * perOp / (c.Budget.Network / 2) / float64(c.Tables))
	gap := fits / (s.ClaimWritesPerSecond / 2)
	kept := f.opaque * c.Assume.DayMean * s.Window.Seconds()
	return fmt.Sprintf("The duty sits on few nodes. With %.0f logs a table no batcher takes more than half of 6 kB/s, but on the same writes a log is then written every %.1f s, for half of which each claim waits. Every percent of requests that may not be repeated costs an average node %s/s: only fewer of them, or larger nodes, help there. "+
		"Keys without a time do not fit: %.0f a second, kept for %v, are %.0f million in logs without end, %.0f MB in each of %d logs a table. At this size such keys would have to be refused.",
		fits, gap, amount(0.01*c.Size.perNode(c.Size.Requests)*2*perOp), f.opaque, s.Window, kept/1e6, kept/float64(s.Layout.OpaqueShards*c.Tables)*c.per("claim.heap")/megabyte, s.Layout.OpaqueShards)
}

// billFigures are the rates of bills.
type billFigures struct {
	// gap is the time between two rows of a failure domain, in seconds.
	gap float64
	// perNode and perDomain are bills a second.
	perNode   float64
	perDomain float64
	// messages a second from a node to its collector, each with some bills.
	messages float64
	bills    float64
}

// Of package ledger: how many messages with bills a node has out at one time,
// and for how many seconds one node collects; and, assumed, how many seconds a
// row takes to be written.
const (
	maxSends     = 2
	collectEpoch = 5
	rowWrites    = 0.01
)

func (c *calc) billFigures(sends float64) billFigures {
	// Each table has its own budget of writes, and the failure domains of its
	// region.
	domains := float64(c.Size.FailureDomains) / float64(c.Tables)
	f := billFigures{gap: domains / ledgerSettings().BillWritesPerSecond}
	f.perNode = c.Size.perNode(c.Size.Requests)
	f.perDomain = f.perNode * c.Size.perDomain()
	wait := f.gap/2 + rowWrites
	f.messages = min(f.perNode, sends/wait)
	f.bills = f.perNode / f.messages
	return f
}

// billing is a node that sends its bills, and one that collects for its
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
	// What a whole node with its goroutines takes, claims included, measured
	// in one process; and the look for the collector among all nodes.
	whole := processor(1, c.per("ledger.fleet"))
	finding := processor(f.messages, c.per("ledger.bill")*float64(c.Size.Nodes))
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
		Each:      each, Busiest: busiest, Who: "a collector", Mended: mended,
		Writes: float64(c.Size.FailureDomains) / f.gap,
		Over: fmt.Sprintf("Bills grow with requests: %.0f B each, %s/s at a node before any header, so that two passages (to the collector, to the table) are %.0f %% of the budget. %.1f messages a second carry %.1f bills each; one message out at a time in place of %d would carry more. The collector's part can only be spread, by more collectors and so more and smaller rows. The look for the collector costs %s of a core at %d nodes: the members seen are ranked twice a second, and no longer for each message. Whether bills count as control should be asked.",
			c.per("bill.bytes"), amount(f.perNode*c.per("bill.bytes")), 200*f.perNode*c.per("bill.bytes")/c.Budget.Network, f.messages, f.bills, maxSends, cores(finding), c.Size.Nodes),
	}
}

// billBucket is the span of bills that are settled together.
func billBucket() float64 { return ledgerSettings().Layout.BillBucket.Seconds() }

// Of package ledger: how many rows a scan reads, and, measured by its benchmark
// of settling, what a key takes while a bucket is added up: bytes and
// nanoseconds.
const (
	settleScanRows = 200
	settleKeyBytes = 9
	settleKeyTime  = 350
)

// settling is the janitor: one node a minute deletes old claims and settles
// closed buckets of bills, row by row, in as many parts as bound the memory.
func (c *calc) settling() Role {
	f := c.billFigures(maxSends)
	s := ledgerSettings()
	tables := float64(c.Tables)
	rows := float64(c.Size.FailureDomains) / f.gap * billBucket()
	keys := c.Size.Requests * c.Assume.DayMean * billBucket()
	parts := math.Exp2(math.Max(0, math.Ceil(math.Log2(keys/tables/float64(s.MaxSummaryKeys)))))
	bucketBytes := keys * c.per("bill.bytes") * base64Growth
	shards := float64((s.Layout.Shards + s.Layout.OpaqueShards) * c.Tables)
	// A part reads the bucket whole and keeps its own keys.
	perPart := Cost{Network: bucketBytes, Messages: 2 * rows / settleScanRows, Processor: processor(1, keys*(c.per("bill.pack")+settleKeyTime/parts))}
	// Each row is read once more, and put into a fold of a page of rows, in place
	// of which they are deleted.
	pages := rows / settleScanRows
	pruning := Cost{Network: 2 * bucketBytes, Messages: 6 * pages, Processor: processor(2, keys*c.per("bill.pack"))}
	perBucket := perPart.Times(parts).Plus(pruning)
	peak := perPart.Times(1 / s.Janitor.Seconds() / tables)
	held := keys / tables / parts
	peak.Memory = c.memory(held * settleKeyBytes)
	bounded := float64(s.MaxSummaryKeys) / (c.Size.Requests / tables * c.Assume.DayMean)
	return Role{
		Name: "settling of bills", Plane: Control, PerRequest: true,
		State:     fmt.Sprintf("while it settles, hashes of the keys of a part of a bucket of %v: %.1f million; the bucket has %s", s.Layout.BillBucket, held/1e6, amount(bucketBytes)),
		Mechanism: fmt.Sprintf("one node in rendezvous order a minute deletes old claims and adds closed buckets up, row by row; a bucket of more than %.0f million keys in parts, here %.0f, each a step of any node, and moves rows to the object store after %v; package ledger", float64(s.MaxSummaryKeys)/1e6, parts, s.PruneAfter),
		Each:      perBucket.Times(1 / billBucket() / float64(c.Size.Nodes)),
		Busiest:   peak, Who: "the janitor while it settles a part",
		Reads:  (parts+2)*pages/billBucket() + 2*shards/s.Janitor.Seconds(),
		Writes: (1+parts+2*pages)/billBucket() + shards/3600,
		Mended: perPart.Plus(pruning).Times(1 / billBucket() / float64(c.Size.Nodes)),
		Over:   fmt.Sprintf("Each part reads the bucket whole: %.0f parts read it %.0f times. Buckets of up to %.0f s have one part, at this rate.", parts, parts, bounded),
	}
}
