package bill

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hickorybank/hickorybank/internal/ledger/fate"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

func testSettings(writer string) CollectorSettings {
	return CollectorSettings{
		Writer:      writer,
		Layout:      key.Layout{Shards: 4, OpaqueShards: 64, ClaimBucket: time.Minute, BillBucket: time.Hour},
		MinGap:      20 * time.Millisecond,
		MaxGap:      time.Second,
		MaxBatch:    100,
		MaxInFlight: 4,
		MaxWaiting:  1000,

		TableGrace:  300 * time.Millisecond,
		ObjectGrace: 600 * time.Millisecond,
		GiveUp:      2 * time.Second,
		Probe:       time.Second,
		Refresh:     2 * time.Second,
		Copies:      2,
	}
}

// script runs the scenarios in testdata: one collector, and the scenario determines the
// result of each call.
type script struct {
	c      *Collector
	now    time.Time
	number uint64
	keys   map[uint64]string
	calls  map[string]Write
	text   strings.Builder
}

func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenario", func(t *testing.T, path string) {
		s := &script{
			c: NewCollector(testSettings("w")), now: time.Unix(36_000, 0).UTC(),
			keys: map[uint64]string{}, calls: map[string]Write{},
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.text.Reset()
			s.run(t, d)
			s.ready()
			return s.text.String()
		})
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) {
	switch d.Cmd {
	case "bill":
		for _, arg := range d.CmdArgs {
			s.number++
			s.keys[s.number] = arg.Key
			s.c.Add(s.number, Bill{Org: "org", Key: arg.Key, At: s.now})
		}
	case "time":
		step, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		s.now = s.now.Add(step)
	case "table":
		s.c.TableDone(s.now, s.batch(t, d, "table"), fateOf(t, d))
	case "object":
		s.c.ObjectDone(s.now, s.batch(t, d, "object"), fateOf(t, d))
	case "held":
		var by []string
		for _, arg := range d.CmdArgs[1:] {
			by = append(by, arg.Key)
		}
		s.c.HoldDone(s.now, s.batch(t, d, "hold"), by)
	case "lost":
		row := s.batch(t, d, "hold").Row
		s.c.CopyLost(HeldRow{Writer: row.Writer, Seq: row.Seq})
	case "waiting":
		fmt.Fprintf(&s.text, "%d bills in memory\n", s.c.Waiting())
	default:
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
}

// batch returns the last call to a destination for the batch that the command names.
func (s *script) batch(t *testing.T, d *datadriven.TestData, to string) Write {
	w, ok := s.calls[to+" "+d.CmdArgs[0].Key]
	if !ok {
		d.Fatalf(t, "no such call is out")
	}
	return w
}

func fateOf(t *testing.T, d *datadriven.TestData) fate.Fate {
	for f := fate.Applied; f <= fate.Unanswered; f++ {
		if f.String() == d.CmdArgs[1].Key {
			return f
		}
	}
	d.Fatalf(t, "unknown fate %q", d.CmdArgs[1].Key)
	return 0
}

func (s *script) ready() {
	r := s.c.Ready(s.now)
	for _, reply := range r.Replies {
		fmt.Fprintf(&s.text, "%s: %s\n", s.keys[reply.Number], reply.Safety)
	}
	s.writes("table", r.Table)
	s.writes("object", r.Objects)
	s.writes("hold", r.Hold)
	for _, p := range r.Drop {
		fmt.Fprintf(&s.text, "drop row %d at %s\n", p.Seq, strings.Join(p.Holders, ", "))
	}
	for _, p := range r.Refresh {
		fmt.Fprintf(&s.text, "refresh row %d at %s\n", p.Seq, strings.Join(p.Holders, ", "))
	}
}

func (s *script) writes(to string, writes []Write) {
	for _, w := range writes {
		s.calls[fmt.Sprint(to, " ", w.Batch)] = w
		fmt.Fprintf(&s.text, "%s: batch %d, row %d, %d bills\n", to, w.Batch, w.Row.Seq, w.Row.Bills.Len())
	}
}
