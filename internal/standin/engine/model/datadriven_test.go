package model

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// script runs one scripted scenario with one engine in virtual time.
type script struct {
	engine  *Engine
	control *Control
	now     time.Duration
	tickets map[uint64]Ticket
}

func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		s := &script{tickets: make(map[uint64]Ticket)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "engine":
		return s.newEngine(t, d)
	case "control":
		s.control = NewControl(strings.Fields(d.Input), d.HasArg("honour"))
		return s.state()
	case "order":
		return s.order(t, d)
	case "fetched":
		return fmt.Sprintf("%v\n%s", s.control.Fetched(word(t, d, "version")), s.state())
	}
	out := s.advance(t, d)
	switch d.Cmd {
	case "advance":
	case "submit":
		out += s.submit(t, d)
	case "cancel":
		out += fmt.Sprintln("cancelled:", s.engine.Cancel(s.now, s.tickets[uint64(number(t, d, "id"))]))
	case "slow":
		s.engine.SetSlow(float64(number(t, d, "factor")))
	case "reset":
		s.engine.Reset(s.now)
	case "import":
		s.engine.Import(s.now, uint64(number(t, d, "prefix")))
	case "load":
		l := s.engine.Load(s.now)
		out += fmt.Sprintf("running %d queued %d\n", l.Running, l.Queued)
	case "cache-events":
		for _, ev := range s.engine.CacheEvents(s.now, uint64(number(t, d, "after")), nil) {
			out += fmt.Sprintf("%d %v %d at %v\n", ev.Seq, ev.Kind, ev.Prefix, ev.At)
		}
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return out
}

func (s *script) newEngine(t *testing.T, d *datadriven.TestData) string {
	cfg := Config{
		BatchLimit:      int(number(t, d, "batch")),
		QueueLimit:      int(number(t, d, "queue")),
		StepBase:        duration(t, d, "base"),
		StepSlope:       duration(t, d, "slope"),
		CacheEntries:    int(number(t, d, "cache")),
		LoadLag:         duration(t, d, "lag"),
		CacheEventDelay: duration(t, d, "delay"),
		CacheEventGaps:  int(number(t, d, "gaps")),
		EveryToken:      d.HasArg("every-token"),
		Seed:            1,
	}
	e, err := New(cfg)
	if err != nil {
		return err.Error()
	}
	s.engine = e
	s.now = 0
	return ""
}

func (s *script) advance(t *testing.T, d *datadriven.TestData) string {
	if d.HasArg("at") {
		s.now = duration(t, d, "at")
	}
	var b strings.Builder
	for _, ev := range s.engine.Advance(s.now, nil) {
		fmt.Fprintf(&b, "%v %d %v count=%d", ev.At, ev.ID, ev.Kind, ev.Count)
		if ev.Cached {
			b.WriteString(" cached")
		}
		b.WriteByte('\n')
	}
	return b.String()
}

func (s *script) submit(t *testing.T, d *datadriven.TestData) string {
	r := Request{
		ID:       uint64(number(t, d, "id")),
		Priority: int(number(t, d, "priority")),
		Prefix:   uint64(number(t, d, "prefix")),
		Prefill:  duration(t, d, "prefill"),
		Tokens:   int(number(t, d, "tokens")),
	}
	ticket, ok := s.engine.Submit(s.now, r)
	if !ok {
		return "refused\n"
	}
	s.tickets[r.ID] = ticket
	return ""
}

func (s *script) order(t *testing.T, d *datadriven.TestData) string {
	o := upstream.Order{
		Fence:   uint64(number(t, d, "fence")),
		Action:  upstream.OrderAction(word(t, d, "do")),
		Version: word(t, d, "version"),
		Role:    word(t, d, "role"),
	}
	verdict := [...]string{"taken", "fetch", "stale", "invalid"}[s.control.Apply(o)]
	return verdict + "\n" + s.state()
}

func (s *script) state() string {
	st := s.control.State()
	return fmt.Sprintf("fence %d role %q versions %v loading %v", st.Fence, st.Role, st.Versions, st.Loading)
}

func word(t *testing.T, d *datadriven.TestData, key string) string {
	var text string
	if d.HasArg(key) {
		d.ScanArgs(t, key, &text)
	}
	return text
}

func duration(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	text := word(t, d, key)
	if text == "" {
		return 0
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%s: %v", key, err)
	}
	return v
}

func number(t *testing.T, d *datadriven.TestData, key string) int64 {
	text := word(t, d, key)
	if text == "" {
		return 0
	}
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		d.Fatalf(t, "%s: %v", key, err)
	}
	return v
}
