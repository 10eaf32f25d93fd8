package load

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/request"
)

// serial is a system that does one request after another, each in a
// millisecond, and once stands still.
type serial struct {
	// turn is a channel, since waiting for a mutex would stop virtual time.
	turn    chan struct{}
	stallAt time.Duration
	stall   time.Duration
}

func newSerial(stallAt, stall time.Duration) *serial {
	return &serial{turn: make(chan struct{}, 1), stallAt: stallAt, stall: stall}
}

func (s *serial) Name() string { return "serial" }

func (s *serial) Start() error { return nil }

func (s *serial) Close() {}

func (s *serial) Do(_ context.Context, _ Job, clock Clock) Result {
	s.turn <- struct{}{}
	defer func() { <-s.turn }()
	if s.stall > 0 && clock() >= s.stallAt {
		time.Sleep(s.stall)
		s.stall = 0
	}
	time.Sleep(time.Millisecond)
	return Result{Outcome: request.Completed, Check: Whole, Ended: clock(), First: clock()}
}

// A system stands still for one second of ten. Its callers see waits of up to
// a second, a tenth of them more than half of it or so. A load program that
// sends the next request only after an answer would see a single slow one and
// report a good 99th percentile; starting each request at its time, and
// counting from there, shows the stall.
func TestStallShowsInFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := Settings{Run: "r", Mix: twoKinds(), Arrivals: Constant, PerSecond: 100, Duration: 10 * time.Second, Seed: 1, MaxInFlight: 1000}
		report, err := Run(context.Background(), s, newSerial(4*time.Second, time.Second))
		is.NoErr(err)
		total := report.Lanes[0].Total
		is.Equal(total.Sent, int64(999))
		is.True(total.Whole.P50 < 2000)     // µs: most are not touched
		is.True(total.Whole.P95 > 400_000)  // the stall
		is.True(total.Whole.Max > 990_000)  // the whole of it
		is.True(total.Whole.P90 < 300_000)  // and no more than it
		is.Equal(report.Lag.Max <= 1, true) // the program itself was on time
	})
}

// More requests run than the program may keep in flight. It must not wait in
// silence, which would hide the overload: it counts what it could not send.
func TestSaturationIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := Settings{Run: "r", Mix: twoKinds(), Arrivals: Constant, PerSecond: 100, Duration: 2 * time.Second, WarmUp: time.Second, Seed: 1, MaxInFlight: 5}
		report, err := Run(context.Background(), s, newSerial(0, time.Hour))
		is.NoErr(err)
		total := report.Lanes[0].Total
		is.Equal(countOf(total.Codes, saturated), int64(100))
		is.Equal(total.Sent, int64(100)) // the warm-up stays out
		is.Equal(report.Completed(), int64(0))
	})
}

// A system gets twice what it can do. Its queue grows while the load is sent
// and is worked off after it, so that every request completes in the end.
// Counted by when they were sent, its answers seem to be 2,000 a second; it
// does 1,000.
func TestBacklogIsNotWorkDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := Settings{Run: "r", Mix: twoKinds(), Arrivals: Constant, PerSecond: 2000, Duration: 3 * time.Second, WarmUp: time.Second, Seed: 1, MaxInFlight: 8192}
		report, err := Run(context.Background(), s, newSerial(0, 0))
		is.NoErr(err)
		total := report.Lanes[0].Total
		is.Equal(countOf(total.Outcomes, "completed"), int64(4000)) // all of those sent
		is.True(total.DonePerSecond > 990)
		is.True(total.DonePerSecond < 1010)
	})
}

func TestEndOfContextStopsSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s := Settings{Run: "r", Mix: twoKinds(), Arrivals: Constant, PerSecond: 10, Duration: time.Hour, Seed: 1, MaxInFlight: 5}
		report, err := Run(ctx, s, newSerial(0, 0))
		is.NoErr(err)
		is.True(report.Lanes[0].Total.Sent < 11)
	})
}

// wrong is a system that mixes answers up.
type wrong struct{ *serial }

func (w *wrong) Do(ctx context.Context, job Job, clock Clock) Result {
	r := w.serial.Do(ctx, job, clock)
	r.Check = []Check{Whole, Foreign, Partial}[job.Seq%3]
	return r
}

func TestReportsOfTwoLanes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := twoKinds()
		m.Work[0].Stream = true
		s := Settings{Run: "r", Mix: m, Arrivals: Poisson, PerSecond: 100, Duration: 3 * time.Second, WarmUp: time.Second, Seed: 1, MaxInFlight: 100}
		report, err := Run(context.Background(), s, newSerial(0, 0), &wrong{newSerial(0, 0)})
		is.NoErr(err)
		is.True(report.Wrong() > 0)
		is.Equal(len(report.Ratios), 4) // nothing came between tokens
		var text bytes.Buffer
		is.NoErr(report.Text(&text))
		for _, part := range []string{"foreign", "whole p99", "first token", "often", "seldom", "late by"} {
			is.True(strings.Contains(text.String(), part)) // the part
		}
		var svg bytes.Buffer
		is.NoErr(report.SVG(&svg))
		is.Equal(strings.Count(svg.String(), "<polyline"), 4)
		is.NoErr(wellFormed(&svg))
		data, err := json.Marshal(report)
		is.NoErr(err)
		var again Report
		is.NoErr(json.Unmarshal(data, &again))
		is.Equal(again.Wrong(), report.Wrong())
	})
}

func wellFormed(r io.Reader) error {
	decoder := xml.NewDecoder(r)
	for {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}
