package memory_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
	"github.com/hickorybank/hickorybank/internal/standin/platform/rating"
)

// script runs one scripted scenario in virtual time. When a call waits longer than its
// timeout, time advances by the timeout and the caller gives up.
type script struct {
	now     time.Time
	timeout time.Duration
	p       *memory.Platform
}

func (s *script) wait(_ context.Context, d time.Duration) error {
	if d > s.timeout {
		s.now = s.now.Add(s.timeout)
		return context.DeadlineExceeded
	}
	s.now = s.now.Add(d)
	return nil
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{now: time.Unix(1_000_000, 0)}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	s.timeout = duration(t, d, "patience", time.Minute)
	switch d.Cmd {
	case "new":
		return s.create(t, d)
	case "advance":
		s.now = s.now.Add(duration(t, d, "by", 0))
		return ""
	case "faults":
		return outcome(s.p.SetFaults(decode[fault.Change](t, d.Input)))
	case "limits":
		return outcome(s.p.SetLimits(decode[memory.LimitsChange](t, d.Input)))
	case "quality":
		return outcome(s.p.SetQuality(decode[rating.Quality](t, d.Input)))
	case "stats":
		return stats(t, s.p.Stats())
	}
	return s.call(t, d)
}

func (s *script) create(t *testing.T, d *datadriven.TestData) string {
	s.p = memory.New(memory.WithSettings(memory.Settings{
		WritesPerSecond:      number(t, d, "writes"),
		ReadsPerSecond:       number(t, d, "reads"),
		RatingNoise:          number(t, d, "noise"),
		VMListLag:            duration(t, d, "lag", 0),
		WeightBytes:          int64(number(t, d, "weights")),
		WeightBytesPerSecond: int64(number(t, d, "pace")),
		Now:                  func() time.Time { return s.now },
		Wait:                 s.wait,
	}))
	return ""
}

func (s *script) call(t *testing.T, d *datadriven.TestData) string {
	ctx := t.Context()
	switch d.Cmd {
	case "commit":
		result, err := s.p.Commit(ctx, txn(t, d.Input))
		return outcome(err, commitText(result))
	case "get":
		row, err := s.p.Get(ctx, text(d, "key"))
		return outcome(err, rowText(row))
	case "scan":
		rows, err := s.p.Scan(ctx, text(d, "prefix"), text(d, "after"), int(number(t, d, "limit")))
		return outcome(err, rowsText(rows)...)
	case "put-object":
		return outcome(s.p.Objects().Put(ctx, text(d, "key"), []byte(text(d, "value"))))
	case "get-object":
		value, ok, err := s.p.Objects().Get(ctx, text(d, "key"))
		return outcome(err, fmt.Sprintf("%t %s", ok, value))
	case "list-objects":
		keys, err := s.p.Objects().List(ctx, text(d, "prefix"))
		return outcome(err, keys...)
	case "register":
		vm := platform.VM{ID: text(d, "id"), Role: platform.Role(text(d, "role")), Addr: "10.0.0.1:80"}
		return outcome(s.p.RegisterVM(ctx, vm))
	case "leave":
		return outcome(s.p.LeaveVM(ctx, text(d, "id")))
	case "remove":
		return outcome(s.p.RemoveVM(ctx, text(d, "id")))
	case "vms":
		list, err := s.p.VMs().List(ctx)
		return outcome(err, vmsText(list)...)
	case "rate":
		score, err := s.p.Rate(ctx, platform.RateRequest{Version: text(d, "version"), Class: text(d, "class")})
		return outcome(err, strconv.FormatFloat(score, 'f', 3, 64))
	case "fetch":
		start := s.now
		n, err := s.p.FetchWeights(ctx, text(d, "version"))
		return outcome(err, fmt.Sprintf("%d bytes in %s", n, s.now.Sub(start).Round(time.Millisecond)))
	}
	t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
	return ""
}

// outcome returns the lines, or the kind and text of the error.
func outcome(err error, lines ...string) string {
	switch {
	case err == nil && len(lines) == 0:
		return "ok\n"
	case err == nil:
		return strings.Join(lines, "\n") + "\n"
	case errors.Is(err, platform.ErrRefused) && errors.Is(err, platform.ErrUnknown):
		return "both: " + err.Error() + "\n"
	case errors.Is(err, platform.ErrRefused):
		return "refused: " + err.Error() + retryText(err) + "\n"
	case errors.Is(err, platform.ErrUnknown):
		return "unknown: " + err.Error() + "\n"
	}
	return "neither: " + err.Error() + "\n"
}

func retryText(err error) string {
	var refusal *wire.Refusal
	if !errors.As(err, &refusal) || refusal.RetryAfter() == 0 {
		return ""
	}
	return "; retry after " + refusal.RetryAfter().String()
}

func txn(t *testing.T, input string) platform.Txn {
	var out platform.Txn
	for line := range strings.Lines(input) {
		f := strings.Fields(line)
		switch f[0] {
		case "if":
			version, err := strconv.ParseUint(f[2], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			out.Conditions = append(out.Conditions, platform.Condition{Key: f[1], Version: version})
		case "put":
			out.Writes = append(out.Writes, platform.Write{Key: f[1], Value: []byte(f[2])})
		case "delete":
			out.Writes = append(out.Writes, platform.Write{Key: f[1], Delete: true})
		default:
			t.Fatalf("unknown line %q", line)
		}
	}
	return out
}

func commitText(r platform.CommitResult) string {
	if r.Applied {
		return fmt.Sprintf("applied version=%d", r.Version)
	}
	return "conflict\n" + strings.Join(rowsText(r.Conflicts), "\n")
}

func rowText(row platform.Row) string {
	return strings.TrimSpace(fmt.Sprintf("%s@%d %s", row.Key, row.Version, row.Value))
}

func rowsText(rows []platform.Row) []string {
	lines := []string{fmt.Sprintf("%d rows", len(rows))}
	for _, row := range rows {
		lines = append(lines, rowText(row))
	}
	return lines
}

func vmsText(list []platform.VM) []string {
	lines := []string{fmt.Sprintf("%d VMs", len(list))}
	for _, vm := range list {
		lines = append(lines, fmt.Sprintf("%s %s %s", vm.ID, vm.Role, vm.State))
	}
	return lines
}

// stats returns the counters that are not zero, one per line.
func stats(t *testing.T, s memory.Stats) string {
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for field := range strings.SplitSeq(strings.Trim(string(data), "{}"), ",") {
		if !strings.HasSuffix(field, ":0") {
			lines = append(lines, strings.ReplaceAll(field, `"`, ""))
		}
	}
	return strings.Join(lines, "\n") + "\n"
}

func decode[T any](t *testing.T, input string) T {
	var out T
	if err := json.Unmarshal([]byte(input), &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func text(d *datadriven.TestData, name string) string {
	for _, arg := range d.CmdArgs {
		if arg.Key == name && len(arg.Vals) > 0 {
			return arg.Vals[0]
		}
	}
	return ""
}

func number(t *testing.T, d *datadriven.TestData, name string) float64 {
	value := text(d, name)
	if value == "" {
		return 0
	}
	f, err := strconv.ParseFloat(value, 64)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func duration(t *testing.T, d *datadriven.TestData, name string, fallback time.Duration) time.Duration {
	value := text(d, name)
	if value == "" {
		return fallback
	}
	out, err := time.ParseDuration(value)
	if err != nil {
		t.Fatal(err)
	}
	return out
}
