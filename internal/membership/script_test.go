package membership

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// scriptStart is the time 0 of the scripts.
var scriptStart = time.Unix(1_000_000, 0)

var outcomes = map[string]Outcome{
	"reached": Reached, "connect-failed": ConnectFailed, "broken": Broken,
	"said-leaving": ReportedLeaving, "said-serving": ReportedServing,
}

func scriptTime(t *testing.T, d *datadriven.TestData) time.Time {
	var text string
	d.ScanArgs(t, "at", &text)
	offset, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return scriptStart.Add(offset)
}

// Commands of the scripts: list at=T (lines of VMs), see at=T ADDRESS OUTCOME, view at=T.
func TestMembersScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/members", func(t *testing.T, path string) {
		self := platform.VM{ID: "self", Role: platform.RoleEntry, Addr: "10.0.0.1:1", FailureDomain: "a"}
		c := NewCore(Settings{}, self)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "list":
				return fmt.Sprintf("taken: %v\n", c.SetList(parseVMs(t, d), scriptTime(t, d)))
			case "see":
				return fmt.Sprintf("changed: %v\n", c.Observe(d.CmdArgs[1].Key, outcomes[d.CmdArgs[2].Key], scriptTime(t, d)))
			case "view":
				return describe(c.View(scriptTime(t, d)))
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
				return ""
			}
		})
	})
}

// parseVMs parses lines of the form ID ROLE[/SERVICE] ADDRESS DOMAIN STATE.
func parseVMs(t *testing.T, d *datadriven.TestData) []platform.VM {
	var vms []platform.VM
	for _, line := range strings.Split(d.Input, "\n") {
		f := strings.Fields(line)
		if len(f) != 5 {
			d.Fatalf(t, "not a VM: %q", line)
		}
		role, service, _ := strings.Cut(f[1], "/")
		vms = append(vms, platform.VM{
			ID: f[0], Role: platform.Role(role), Service: service, Addr: f[2], FailureDomain: f[3], State: platform.VMState(f[4]),
		})
	}
	return vms
}

func describe(v *View) string {
	var b strings.Builder
	v.each(func(m Member) {
		fmt.Fprintf(&b, "%s %s\n", m.ID, m.State)
	})
	return b.String()
}

// Commands of the scripts: EVENT at=T running=N prints the steps to take.
func TestStoppingScripts(t *testing.T) {
	events := map[string]StopEvent{
		"stop": StopOrdered, "told": PeersNotified, "missed": PeersUnreachable, "tick": Tick, "flushed": BillsFlushed,
	}
	datadriven.Walk(t, "testdata/stopping", func(t *testing.T, path string) {
		s := NewStopping(Settings{})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			e, ok := events[d.Cmd]
			if !ok {
				d.Fatalf(t, "unknown event %s", d.Cmd)
			}
			running := 0
			d.ScanArgs(t, "running", &running)
			steps := s.Step(scriptTime(t, d), e, running)
			if len(steps) == 0 {
				return "nothing\n"
			}
			var b strings.Builder
			for _, step := range steps {
				fmt.Fprintln(&b, step)
			}
			return b.String()
		})
	})
}
