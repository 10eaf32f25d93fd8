package rollout

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Runs the scenarios in testdata in virtual time; their heads name the failure that each
// one tests for.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s script
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

type script struct{ w *world }

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	if d.Cmd == "world" {
		s.world(t, d)
		return "ok"
	}
	switch d.Cmd {
	case "config":
		s.config(d)
	case "run":
		s.w.runUntil(s.w.now.Add(duration(t, d, 0)))
	case "pause":
		s.node(d).pause(duration(t, d, 1))
	case "crash":
		s.node(d).crash()
	case "boot":
		s.node(d).boot()
	case "close":
		s.node(d).close()
	case "fail":
		s.fail(name(d), duration(t, d, 1))
	case "table":
		s.w.faults.tableDown = name(d) == "down"
	case "loads-take":
		s.w.faults.loadTime = duration(t, d, 0)
	case "next-order":
		s.nextOrder(t, d)
	case "next-write":
		s.w.faults.loseAcks = 1
		s.w.runUntil(s.w.now.Add(duration(t, d, 1)))
		s.w.faults.loseAcks = 0
	case "show":
		return s.show()
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return s.output()
}

// output returns what was logged since the last command.
func (s *script) output() string {
	text := s.w.log.String()
	s.w.log.Reset()
	if s.w.violation != "" {
		text += "broken: " + s.w.violation + "\n"
	}
	if text == "" {
		return "ok"
	}
	return text
}

func (s *script) world(t *testing.T, d *datadriven.TestData) {
	engines, nodes, slots, honour, boot := 4, 2, 0, false, ""
	d.MaybeScanArgs(t, "engines", &engines)
	d.MaybeScanArgs(t, "nodes", &nodes)
	d.MaybeScanArgs(t, "slots", &slots)
	d.MaybeScanArgs(t, "honour", &honour)
	d.MaybeScanArgs(t, "boot", &boot)
	settings := simSettings(slots)
	d.MaybeScanArgs(t, "part", &settings.ServingPart)
	s.w = newWorld(1, settings, disabledRules{})
	s.w.verbose = true
	for i := range engines {
		s.w.addEngine(fmt.Sprintf("e%d", i), fmt.Sprintf("d%d", i%4), honour, strings.Split(boot, "+")...)
	}
	s.w.updateView()
	for range nodes {
		s.w.addNode()
	}
}

func (s *script) config(d *datadriven.TestData) {
	snapshot := compile(name(d), strings.Split(strings.TrimSpace(d.Input), "\n")...)
	snapshot.Revision = uint64(len(s.w.revisions) + 1)
	s.w.addRevision(snapshot)
}

// fail crashes an engine, or all of a failure domain.
func (s *script) fail(id string, downtime time.Duration) {
	for _, e := range s.w.engines {
		if e.id == id || e.domain == id {
			e.fail(downtime)
		}
	}
}

// nextOrder sets what happens to the next order of an action: its node is paused before
// it is sent, the order is delayed on the network, or its answer is lost.
func (s *script) nextOrder(t *testing.T, d *datadriven.TestData) {
	action, effect := upstream.OrderAction(name(d)), d.CmdArgs[1].Key
	delay := duration(t, d, 2)
	s.w.onOrder = func(n *simNode, o SendOrder) {
		if o.Order.Action != action {
			return
		}
		s.w.onOrder = nil
		switch effect {
		case "paused":
			n.pause(delay)
		case "late":
			s.w.nextOrderDelay = delay
		case "lost":
			s.w.faults.loseOrderAcks = 1
			s.w.after(delay, func() { s.w.faults.loseOrderAcks = 0 })
		}
	}
}

func (s *script) show() string {
	var b strings.Builder
	for _, e := range s.w.engines {
		state := e.control.State()
		fmt.Fprintf(&b, "%s: %s", e.id, strings.Join(state.Versions, " "))
		for _, v := range state.Loading {
			fmt.Fprintf(&b, " (%s)", v)
		}
		if !e.up {
			b.WriteString(" down")
		}
		b.WriteString("\n")
	}
	r := s.w.row.record
	fmt.Fprintf(&b, "term %d, %s holds, %d orders\n", r.Term, r.Holder, len(r.Orders))
	for _, p := range r.Versions {
		fmt.Fprintf(&b, "%s: %s, %d of %d\n", p.Version, p.Stage, p.Seen, p.Wanted)
	}
	return b.String()
}

func name(d *datadriven.TestData) string { return d.CmdArgs[0].Key }

func (s *script) node(d *datadriven.TestData) *simNode {
	i, _ := strconv.Atoi(strings.TrimPrefix(name(d), "n"))
	return s.w.nodes[i-1]
}

func duration(t *testing.T, d *datadriven.TestData, arg int) time.Duration {
	t.Helper()
	value, err := time.ParseDuration(d.CmdArgs[arg].Key)
	if err != nil {
		t.Fatalf("%s: %v", d.Pos, err)
	}
	return value
}
