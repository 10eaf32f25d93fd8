package balance

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// scenario drives one balancer through a script in testdata.
type scenario struct {
	b       *Balancer
	now     time.Duration
	random  uint64
	picks   map[string]Pick
	started []Token
}

func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		s := &scenario{picks: map[string]Pick{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "balancer" {
				s.b = New(Settings{SelfID: "self", SelfDomain: "here", Policy: PolicyTwoChoices})
				s.now = 0
			}
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				if f := strings.Fields(line); len(f) > 0 {
					out.WriteString(s.run(t, d, f))
				}
			}
			return out.String()
		})
	})
}

func (s *scenario) time() time.Time { return epoch.Add(s.now) }

func (s *scenario) run(t *testing.T, d *datadriven.TestData, f []string) string {
	switch d.Cmd {
	case "pass":
		v, err := time.ParseDuration(f[0])
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		s.now += v
	case "members": // id domain [leaving]; one line for each upstream
		return s.members(d)
	case "report": // id version...
		s.b.Report(f[0], upstream.LoadReport{Limit: 8, Versions: f[1:]}, s.time())
	case "stays": // id: a report without the leaving flag
		s.b.Report(f[0], upstream.LoadReport{Limit: 8, Versions: []string{"v"}}, s.time())
	case "leaving":
		s.b.MarkLeaving(f[0], s.time())
	case "pick": // name [n] [not id...]
		return s.pick(f[0], f[1:])
	case "many": // n: the number of requests that each upstream gets, each done at once
		return s.many(f[0])
	case "done": // name outcome
		s.done(f[0], f[1])
	case "fail": // id n: n requests to the upstream that do not reach it
		for range number(f[1]) {
			if p, ok := s.pickAt(f[0]); ok {
				s.b.Done(p.Token, Result{Outcome: Unreached}, s.time())
			}
		}
	case "mixed": // k n id...: n requests to each; every k-th one breaks off
		for _, id := range f[2:] {
			s.mixed(id, number(f[0]), number(f[1]))
		}
	case "slow": // id ms n: n requests to the upstream, with ms milliseconds per token
		s.slow(f[0], number(f[1]), number(f[2]))
	case "changes":
		return s.changes()
	case "load": // id running version...
		s.b.Report(f[0], upstream.LoadReport{Running: number(f[1]), Limit: 8, Versions: f[2:]}, s.time())
	case "unreached": // id n: n polls that the upstream does not answer
		for range number(f[1]) {
			s.b.PollFailed(f[0], s.time())
		}
	case "room": // version...
		return s.room(f)
	case "begin": // version n: n attempts that stay in flight
		for range number(f[1]) {
			s.random++
			if p, ok := s.b.Pick(Request{Version: f[0], Now: s.time(), Random: mix(7, s.random)}); ok {
				s.started = append(s.started, p.Token)
			}
		}
	case "end": // outcome: ends all attempts that "begin" started
		s.end(f[0])
	case "polls":
		return s.polls(number(f[0]))
	}
	return ""
}

func number(text string) int {
	var n int
	_, _ = fmt.Sscan(text, &n)
	return n
}

func (s *scenario) members(d *datadriven.TestData) string {
	var vms []platform.VM
	for _, line := range strings.Split(d.Input, "\n") {
		f := strings.Fields(line)
		vm := platform.VM{ID: f[0], Role: platform.RoleEngine, Addr: f[0], FailureDomain: f[1], State: platform.Live}
		if len(f) > 2 {
			vm.State = platform.VMState(f[2])
		}
		vms = append(vms, vm)
	}
	s.b.SetMembers(vms, NodeRank{Count: 1}, s.time())
	return ""
}

func (s *scenario) request(exclude ...string) Request {
	s.random++
	return Request{Version: "v", Exclude: exclude, Now: s.time(), Random: mix(5, s.random)}
}

func (s *scenario) pick(name string, exclude []string) string {
	p, ok := s.b.Pick(s.request(exclude...))
	if !ok {
		return fmt.Sprintf("%s: none, %s, retry after %v\n", name, p.Shortage.Reason, p.Shortage.RetryAfter.Round(100*time.Millisecond))
	}
	s.picks[name] = p
	return fmt.Sprintf("%s: %s\n", name, p.VM.ID)
}

// pickAt picks the given upstream by excluding all others.
func (s *scenario) pickAt(id string) (Pick, bool) {
	var others []string
	for h := range s.b.hosts {
		if h != id {
			others = append(others, h)
		}
	}
	return s.b.Pick(s.request(others...))
}

func (s *scenario) many(n string) string {
	counts := map[string]int{}
	for range number(n) {
		p, ok := s.b.Pick(s.request())
		if !ok {
			return "none\n"
		}
		counts[p.VM.ID]++
		s.b.Done(p.Token, Result{Outcome: Abandoned}, s.time())
	}
	var out strings.Builder
	for _, h := range s.b.order {
		if counts[h.vm.ID] > 0 {
			fmt.Fprintf(&out, "%s %d\n", h.vm.ID, counts[h.vm.ID])
		}
	}
	return out.String()
}

var outcomes = map[string]Outcome{"ok": Succeeded, "unreached": Unreached, "declined": Declined, "missing": MissingVersion, "broken": Broken}

func (s *scenario) end(outcome string) {
	for _, t := range s.started {
		s.b.Done(t, Result{Outcome: outcomes[outcome]}, s.time())
	}
	s.started = nil
}

func (s *scenario) done(name, outcome string) {
	s.b.Done(s.picks[name].Token, Result{Outcome: outcomes[outcome], FirstToken: 100 * time.Millisecond, Latency: time.Second, Tokens: 20}, s.time())
}

func (s *scenario) mixed(id string, every, n int) {
	for i := range n {
		p, ok := s.pickAt(id)
		if !ok {
			continue
		}
		r := Result{FirstToken: 100 * time.Millisecond, Latency: time.Second, Tokens: 20}
		if i%every == every-1 {
			r = Result{Outcome: Broken, Latency: 10 * time.Millisecond}
		}
		s.b.Done(p.Token, r, s.time())
	}
}

func (s *scenario) slow(id string, ms, n int) {
	tokenGap := time.Duration(ms) * time.Millisecond
	for range n {
		if p, ok := s.pickAt(id); ok {
			s.b.Done(p.Token, Result{FirstToken: tokenGap, Latency: 11 * tokenGap, Tokens: 11}, s.time())
		}
	}
}

func (s *scenario) room(versions []string) string {
	var out strings.Builder
	for _, v := range versions {
		r := s.b.VersionCapacity(v, s.time())
		fmt.Fprintf(&out, "%s: %d engines, unsure %v, share %.2f\n", v, r.Engines, r.Unknown, r.Share)
	}
	return out.String()
}

func (s *scenario) changes() string {
	names := map[ChangeKind]string{Opened: "opened", Closed: "closed", Ejected: "ejected"}
	var out strings.Builder
	for _, c := range s.b.Changes() {
		fmt.Fprintf(&out, "%s %s\n", c.VM.ID, names[c.Kind])
	}
	return out.String()
}

func (s *scenario) polls(n int) string {
	var out []string
	for range n {
		for _, vm := range s.b.NeedPoll(s.time()) {
			out = append(out, vm.ID)
		}
		s.now += 250 * time.Millisecond
	}
	return strings.Join(out, " ") + "\n"
}
