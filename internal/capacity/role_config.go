package capacity

import (
	"fmt"
	"math"

	"github.com/hickorybank/hickorybank/internal/confsync"
)

func syncSettings() confsync.Settings { return confsync.Settings{}.WithDefaults() }

// headBytes is the approximate size of the head row.
const headBytes = 150

func (c *calc) configReading() Role {
	s := syncSettings()
	readers := float64(c.Size.FailureDomains * s.Readers)
	changes := c.Size.Changes / secondsPerDay
	heads := c.calls(1/s.ReadInterval.Seconds(), c.at("table.get", headBytes), c.at("table.get.bytes", headBytes))
	row := c.changeBytes() * base64Growth
	deltas := c.calls(changes, c.at("table.get", row), c.at("table.get.bytes", row))
	busiest := heads.Plus(deltas)
	return Role{
		Name: "configuration: reading the table", Plane: Control,
		State:     "the head's revision and proofs of when it was read",
		Mechanism: fmt.Sprintf("%d readers a failure domain by rendezvous hash read the head every %v, and what each change changed: %.0f B, the document being %s; package confsync", s.Readers, s.ReadInterval, c.changeBytes(), formatBytes(c.at("config.bytes", c.Assume.Organisations))),
		Average:   busiest.Times(readers / float64(c.Size.Nodes)), Busiest: busiest, BusiestNode: fmt.Sprintf("a reader, %.0f nodes", readers),
		Reads: readers * (1/s.ReadInterval.Seconds() + changes),
	}
}

// waitRate returns how often a node calls its parent, per second. A held call ends with the
// first renewal of the parent's proof after the minimum hold, and at once with each change.
func (c *calc) waitRate() float64 {
	s := syncSettings()
	renewal := s.ReadInterval.Seconds()
	hold := math.Ceil(s.MinHold.Seconds()/renewal) * renewal
	return 1/hold + c.Size.Changes/secondsPerDay
}

// noticeTime is how long a stop is announced, in seconds; copied from package confsync.
const noticeTime = 600

// announcedStops returns the number of planned stops announced at one time.
func (c *calc) announcedStops() float64 {
	entries := float64(c.Size.Nodes) / float64(c.Size.VMs())
	return c.Size.Replacements * entries * noticeTime / secondsPerDay
}

func (c *calc) configTree() Role {
	s := syncSettings()
	rate, stops := c.waitRate(), c.announcedStops()
	changes := c.Size.Changes / secondsPerDay
	ns, bytes := c.at("confsync.wait", stops), c.at("confsync.wait.bytes", stops)
	own := Cost{
		Processor: processor(1, c.perUnit("confsync.fleet")) + processor(rate, c.perUnit("confsync.step")*float64(c.Size.Nodes)) + processor(changes, c.at("config.apply", c.Assume.Organisations)+c.at("config.delta", c.Assume.Organisations)),
		Memory:    c.memory(c.at("config.heap", c.Assume.Organisations) + c.at("config.bytes", c.Assume.Organisations) + c.at("confsync.heap", float64(c.Size.Nodes))),
	}
	delta := func(copies float64) Cost { return Cost{Network: copies * changes * c.changeBytes()} }
	fan := float64(s.FanOut)
	return Role{
		Name: "configuration: push to all nodes", Plane: Control,
		State:     fmt.Sprintf("the document of %.0f organisations, parsed and encoded; %d entry nodes", c.Assume.Organisations, c.Size.Nodes),
		Mechanism: fmt.Sprintf("held calls along a tree of fan-out %d in each failure domain, %d levels, over net/rpc; package confsync", s.FanOut, c.treeDepth()),
		// The fleet measurement includes the processor time of the calls.
		Average: c.peerCalls(rate, rate, 0, bytes).Plus(delta(2)).Plus(own),
		Busiest: c.peerCalls(rate, fan*rate, 0, bytes).Plus(delta(1 + fan)).Plus(own).Plus(Cost{Processor: processor((fan-1)*rate/2, ns)}), BusiestNode: fmt.Sprintf("a node with %d children", s.FanOut),
	}
}

// changeBytes returns the size of a change as a transmitted delta.
func (c *calc) changeBytes() float64 { return c.at("config.delta.bytes", c.Assume.Organisations) }

// treeDepth returns the number of levels in the tree of a failure domain, readers included.
func (c *calc) treeDepth() int {
	s := syncSettings()
	levels := 1
	for width, all := s.Readers, s.Readers; float64(all) < c.Size.perDomain(); levels++ {
		width *= s.FanOut
		all += width
	}
	return levels
}

// listEdits returns how often the VM list changes, per second.
func (c *calc) listEdits() float64 {
	return (c.Size.Failures + c.Size.Replacements) * c.Assume.ListEdits / secondsPerDay
}

// listChange returns the processor time of one list change at a node in nanoseconds: applying and
// decoding the edit, and rebuilding the derived views.
func (c *calc) listChange() float64 {
	vms, nodes := float64(c.Size.VMs()), float64(c.Size.Nodes)
	return c.at("list.delta", vms) + c.at("list.decode", vms) + c.at("membership.list", vms) + c.at("confsync.members", nodes) + c.at("balance.members", float64(c.Size.Runners))
}

func (c *calc) vmList() Role {
	s := syncSettings()
	vms := float64(c.Size.VMs())
	edits := c.listEdits()
	own := Cost{
		Network:   2 * edits * c.at("list.delta.bytes", vms),
		Processor: processor(edits, c.listChange()),
		Memory:    c.memory(c.at("balance.heap", vms) + c.at("membership.heap", vms) + c.at("list.bytes", vms)),
	}
	// A reader receives a changed list whole, decodes it, and encodes it for its children. The
	// second reader of a failure domain polls less often, but also reads each change.
	whole := c.calls(edits, 1.5*c.at("list.decode", vms), c.at("list.bytes", vms))
	readers := float64(c.Size.FailureDomains * s.Readers)
	const nothingNewer = 350 // bytes of a request and its "not modified" answer
	asking := c.calls(1/s.ListInterval.Seconds(), c.at("table.get", 0), nothingNewer)
	reading := asking.Plus(whole)
	return Role{
		Name: "the VM list", Plane: Control,
		State:     fmt.Sprintf("%d VMs with their addresses and failure domains", c.Size.VMs()),
		Mechanism: fmt.Sprintf("one reader a failure domain asks every %v whether the list changed, by its entity tag, another stands by, and edits go down the tree; packages confsync, membership, balance", s.ListInterval),
		Average:   own.Plus(reading.Times(readers / float64(c.Size.Nodes))), Busiest: own.Plus(reading), BusiestNode: fmt.Sprintf("the list's readers, %.0f nodes", readers),
		OverBudget: fmt.Sprintf("A list that changed comes whole, %.1f MB, every %.0f s: %.0f kB/s at a reader. Met if the nodes of a failure domain take turns at it, or the platform sends edits.", c.at("list.bytes", vms)/megabyte, 1/edits, whole.Network/kilobyte),
		Mitigated:  own.Plus(asking.Times(readers / float64(c.Size.Nodes))),
	}
}
