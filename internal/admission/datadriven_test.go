package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hickorybank/hickorybank/internal/config"
)

var epoch = time.Unix(1_700_000_000, 0)

// scenario drives one queue through a script in testdata.
type scenario struct {
	queue *Queue
	now   time.Duration
}

func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/queue", func(t *testing.T, path string) {
		s := &scenario{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

func (s *scenario) run(t *testing.T, d *datadriven.TestData) string {
	if d.Cmd == "queue" {
		s.now = 0
		s.queue = New(Settings{
			MaxQueued:                intArg(t, d, "max", 0),
			MaxQueuedPerOrganisation: intArg(t, d, "each", 0),
			Limit:                    LimitSettings{Initial: intArg(t, d, "limit", 0), Min: 1},
		})
		return ""
	}
	if d.Cmd == "at" {
		s.now = parseDuration(t, d, d.CmdArgs[0].Key)
		return s.next()
	}
	var out strings.Builder
	for _, line := range strings.Split(d.Input, "\n") {
		out.WriteString(s.runLine(t, d, strings.Fields(line)))
	}
	return out.String()
}

// runLine executes one line of a command's input.
func (s *scenario) runLine(t *testing.T, d *datadriven.TestData, f []string) string {
	now := epoch.Add(s.now)
	switch d.Cmd {
	case "offer": // id org kind deadline [weight]
		r := Request{ID: f[0], Org: f[1], Kind: config.Kind(f[2]), Pool: "pool", Deadline: now.Add(parseDuration(t, d, f[3])), Now: now, Weight: 1}
		if len(f) > 4 {
			_, _ = fmt.Sscan(f[4], &r.Weight)
		}
		return formatDecision(s.queue.Offer(r)) + s.next()
	case "finish": // id total
		s.queue.Finish(f[0], Sample{FirstToken: parseDuration(t, d, f[1]), Total: parseDuration(t, d, f[1])}, now)
		return s.next()
	case "cancel":
		s.queue.Cancel(f[0], now)
		return s.next()
	case "defer":
		s.queue.SetDeferDeferrable(f[0] == "on")
	case "status":
		for _, p := range s.queue.Status() {
			return fmt.Sprintf("running %d queued %d limit %d\n", p.Running, p.Queued, p.Limit)
		}
	}
	return ""
}

func (s *scenario) next() string {
	var out strings.Builder
	for _, d := range s.queue.Next(epoch.Add(s.now)) {
		out.WriteString("  then ")
		out.WriteString(formatDecision(d))
	}
	return out.String()
}

func formatDecision(d Decision) string {
	switch d.Verdict {
	case Run:
		return d.ID + " runs\n"
	case Queued:
		return d.ID + " waits\n"
	}
	return fmt.Sprintf("%s refused (%s, retry after %v)\n", d.ID, d.Code, d.RetryAfter.Round(100*time.Millisecond))
}

func intArg(t *testing.T, d *datadriven.TestData, key string, value int) int {
	if d.HasArg(key) {
		d.ScanArgs(t, key, &value)
	}
	return value
}

func parseDuration(t *testing.T, d *datadriven.TestData, text string) time.Duration {
	v, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return v
}
