package suspect

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hickorybank/hickorybank/internal/request"
)

// script drives some trackers through a scenario. Messages arrive at once, except at
// nodes that are paused or cut off.
type script struct {
	ids      []string
	nodes    map[string]*Tracker
	paused   map[string]bool
	cut      map[string]bool
	messages []Message
	now      time.Duration
	out      strings.Builder
}

func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		s := &script{nodes: map[string]*Tracker{}, paused: map[string]bool{}, cut: map[string]bool{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.out.Reset()
			for _, line := range strings.Split(d.Input, "\n") {
				s.run(t, d, strings.Fields(line))
			}
			return s.out.String()
		})
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData, f []string) {
	now := epoch.Add(s.now)
	switch d.Cmd {
	case "nodes":
		for i, id := range f {
			s.ids = append(s.ids, id)
			s.nodes[id] = New(Settings{Self: id, Born: uint64(i + 1)}, now)
		}
		for _, id := range f {
			s.nodes[id].SetPeers(f, now)
		}
		s.pass(2 * time.Second)
	case "send": // node attempt request upstream
		s.send(f[0], f[1], request.NewFingerprint("org", []byte(f[2])), f[3])
	case "crash": // upstream: all nodes that run something there notice it
		for _, id := range s.ids {
			if !s.paused[id] {
				s.crash(id, f[0])
			}
		}
	case "complete": // node attempt
		s.nodes[f[0]].Completed(f[1], now)
	case "pause":
		s.paused[f[0]] = true
	case "resume":
		s.paused[f[0]] = false
	case "cut":
		s.cut[f[0]] = true
	case "heal":
		s.cut[f[0]] = false
	case "pass":
		v, err := time.ParseDuration(f[0])
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		s.pass(v)
	}
	s.deliverAll()
}

func (s *script) send(node, attempt string, f request.Fingerprint, upstream string) {
	d := s.nodes[node].AdmitAt(attempt, f, upstream, epoch.Add(s.now))
	s.printDecision(d)
	s.deliverAll()
	if s.nodes[node].flights[attempt] != nil && !s.nodes[node].Started(attempt, f, upstream, epoch.Add(s.now)) {
		fmt.Fprintf(&s.out, "%s is not sent\n", attempt)
	}
}

func (s *script) crash(node, upstream string) {
	t := s.nodes[node]
	for _, a := range t.Crashed(CrashID{Upstream: upstream}, epoch.Add(s.now)) {
		fmt.Fprintf(&s.out, "%s broke at %s\n", a, node)
		t.Finished(a, epoch.Add(s.now))
	}
}

func (s *script) printDecision(d Decision) {
	names := map[Verdict]string{Run: "runs", RunAlone: "runs alone", Wait: "waits", Refuse: "refused"}
	name := names[d.Verdict]
	if d.Convicted {
		name = "refused as convicted"
	}
	fmt.Fprintf(&s.out, "%s %s\n", d.Attempt, name)
}

// deliverAll delivers messages until there are none.
func (s *script) deliverAll() {
	for range 100 {
		s.collect()
		due := s.messages
		s.messages = nil
		moved := false
		for _, m := range due {
			switch {
			case s.cut[m.From] || s.cut[m.To]:
			case s.paused[m.To]:
				s.messages = append(s.messages, m)
			default:
				s.nodes[m.To].Step(m, epoch.Add(s.now))
				moved = true
			}
		}
		if !moved {
			return
		}
	}
}

func (s *script) collect() {
	for _, id := range s.ids {
		if s.paused[id] {
			continue
		}
		r := s.nodes[id].Ready()
		s.messages = append(s.messages, r.Messages...)
		for _, d := range r.Decisions {
			s.printDecision(d)
		}
		for range r.Convicted {
			fmt.Fprintf(&s.out, "a request is convicted at %s\n", id)
		}
		for _, a := range r.Reportable {
			fmt.Fprintf(&s.out, "%s may be told at %s\n", a, id)
		}
	}
}

func (s *script) pass(d time.Duration) {
	const tick = 50 * time.Millisecond
	for end := s.now + d; s.now < end; {
		s.now += tick
		for _, id := range s.ids {
			if !s.paused[id] {
				s.nodes[id].Tick(epoch.Add(s.now))
			}
		}
		s.deliverAll()
	}
}
