package confsync

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// scenario runs the commands of a script on a world:
//
//	fleet nodes=N [domains=N] [readers=N] [fanout=N] [direct=N]
//	without GUARD            disable a safety rule of the protocol, before fleet
//	run T                    advance the time
//	change [NODE]            store a revision; NODE reads the head at once
//	pause|thaw|kill|start NODES
//	add NODE DOMAIN          start a node with a new ID
//	split NODES              disconnect these nodes from the others
//	cut NODES                disconnect these nodes from the table
//	table up|down|silent     set the state of the table for all nodes
//	latency table|net T      set the latency
//	heal                     end all faults except kills
//	ask NODE REVISION        print how far the revision is in force
//	nodes                    print each node's revision and why it admits work
//	readers                  print the nodes that read the table
//	refused                  print the nodes that refused work since the last time
//	load                     print messages per second since the last time
type scenario struct {
	w *world
	// rules are the rules of the next fleet.
	rules  rules
	last   counts
	lastAt time.Duration
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &scenario{rules: defaultRules()}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out := s.command(t, d)
			if s.w != nil && s.w.failure != "" {
				out += "FAILED: " + s.w.broken.String() + "\n"
			}
			return out
		})
	})
}

func (s *scenario) command(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "fleet":
		s.fleet(t, d)
	case "without":
		s.without(t, d)
	case "run":
		s.w.run(duration(t, d, 0))
	case "change":
		s.change(d)
	case "ask":
		return s.askConfirm(t, d)
	case "nodes":
		return s.nodes()
	case "refused":
		return s.ids(func(n *simNode) bool {
			refused := n.refused
			n.refused = false
			return refused
		})
	case "readers":
		return s.ids(func(n *simNode) bool { return !n.dead && n.core.isReader(s.w.now) })
	case "load":
		return s.load()
	default:
		s.fault(t, d)
	}
	return ""
}

func duration(t *testing.T, d *datadriven.TestData, i int) time.Duration {
	v, err := time.ParseDuration(d.CmdArgs[i].Key)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return v
}

func (s *scenario) fleet(t *testing.T, d *datadriven.TestData) {
	nodes, domains := 0, 1
	var settings Settings
	d.ScanArgs(t, "nodes", &nodes)
	for _, a := range []struct {
		name  string
		value *int
	}{{"domains", &domains}, {"readers", &settings.Readers}, {"fanout", &settings.FanOut}, {"direct", &settings.DirectLimit}} {
		d.MaybeScanArgs(t, a.name, a.value)
	}
	s.w = newWorld(1, settings)
	s.w.rules = s.rules
	s.w.net.side, s.w.net.noTable = map[string]int{}, map[string]bool{}
	s.w.accept()
	for i := range nodes {
		s.w.addNode(fmt.Sprint("n", i), fmt.Sprint("d", i%domains))
	}
}

func (s *scenario) without(t *testing.T, d *datadriven.TestData) {
	for _, g := range slices.Concat(guards, coveredGuards) {
		if g.name == d.CmdArgs[0].Key {
			g.remove(&s.rules)
			return
		}
	}
	d.Fatalf(t, "unknown guard %s", d.CmdArgs[0].Key)
}

func (s *scenario) change(d *datadriven.TestData) {
	s.w.accept()
	for _, n := range s.named(d) {
		n.deliver(n.boot, ReadRequested{})
	}
}

func (s *scenario) named(d *datadriven.TestData) []*simNode {
	var list []*simNode
	for _, arg := range d.CmdArgs {
		if n := s.w.byAddr[arg.Key]; n != nil {
			list = append(list, n)
		}
	}
	return list
}

func (s *scenario) fault(t *testing.T, d *datadriven.TestData) {
	w := s.w
	named := s.named(d)
	switch d.Cmd {
	case "pause":
		each(named, (*simNode).pause)
	case "thaw":
		each(named, (*simNode).resume)
	case "kill":
		each(named, (*simNode).kill)
	case "start":
		each(named, (*simNode).start)
	case "add":
		w.addNode(d.CmdArgs[0].Key, d.CmdArgs[1].Key)
	case "split":
		clear(w.net.side)
		each(named, func(n *simNode) { w.net.side[n.vm.ID] = 1 })
	case "cut":
		clear(w.net.noTable)
		each(named, func(n *simNode) { w.net.noTable[n.vm.ID] = true })
	case "table":
		w.table.down = d.CmdArgs[0].Key == "down"
		w.table.silent = d.CmdArgs[0].Key == "silent"
	case "latency":
		s.latency(t, d)
	case "heal":
		clear(w.net.side)
		clear(w.net.noTable)
		w.table.down, w.table.silent = false, false
		w.resetLatency()
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
}

func each(nodes []*simNode, do func(*simNode)) {
	for _, n := range nodes {
		do(n)
	}
}

func (s *scenario) latency(t *testing.T, d *datadriven.TestData) {
	switch latency := duration(t, d, 1); d.CmdArgs[0].Key {
	case "table":
		s.w.table.minLatency, s.w.table.maxLatency = latency, latency
	case "net":
		s.w.net.minLatency, s.w.net.maxLatency = latency, latency
	}
}

func (s *scenario) askConfirm(t *testing.T, d *datadriven.TestData) string {
	var revision uint64
	if _, err := fmt.Sscan(d.CmdArgs[1].Key, &revision); err != nil {
		d.Fatalf(t, "%v", err)
	}
	known := len(s.w.answers)
	s.named(d)[0].askConfirm(revision)
	s.w.run(time.Second)
	if len(s.w.answers) == known {
		return "no answer\n"
	}
	c := s.w.answers[known]
	return fmt.Sprintf("in force: %v; %d of %d, needed %d, lagging %v\n", c.InForce, c.Have, c.Members, c.Needed, c.Lagging)
}

func (s *scenario) nodes() string {
	var b strings.Builder
	for _, n := range s.w.nodes {
		fmt.Fprintf(&b, "%s %s\n", n.vm.ID, n.describe())
	}
	return b.String()
}

func (n *simNode) describe() string {
	switch status := n.core.Status(n.w.now); {
	case n.dead:
		return "dead"
	case n.paused:
		return "paused"
	case status.Outage:
		return fmt.Sprintf("revision %d, goes on in the outage", status.Revision)
	case status.Fresh:
		return fmt.Sprintf("revision %d", status.Revision)
	default:
		return fmt.Sprintf("revision %d, refuses", status.Revision)
	}
}

// ids returns the ids of the nodes that satisfy a condition.
func (s *scenario) ids(so func(*simNode) bool) string {
	ids := []string{}
	for _, n := range s.w.nodes {
		if so(n) {
			ids = append(ids, n.vm.ID)
		}
	}
	return fmt.Sprintln(ids)
}

// load returns the messages per second since the last time, rounded.
func (s *scenario) load() string {
	now, c := s.w.now, s.w.counts
	seconds := (now - s.lastAt).Seconds()
	rate := func(n, before int) float64 { return float64(n-before) / seconds }
	out := fmt.Sprintf("reads of the head %.0f/s, of documents %d, calls held %.0f/s, surveys %.0f/s\n",
		rate(c.headReads, s.last.headReads), c.docReads-s.last.docReads,
		rate(c.waits, s.last.waits), rate(c.surveys, s.last.surveys))
	s.last, s.lastAt = c, now
	return out
}
