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

// serialLane simulates a system that processes one request at a time, each in a
// millisecond, and stalls once.
type serialLane struct {
	// token is a channel because waiting for a mutex would stop virtual time.
	token   chan struct{}
	stallAt time.Duration
	stall   time.Duration
}

func newSerialLane(stallAt, stall time.Duration) *serialLane {
	return &serialLane{token: make(chan struct{}, 1), stallAt: stallAt, stall: stall}
}

func (s *serialLane) Name() string { return "serial" }

func (s *serialLane) Start() error { return nil }

func (s *serialLane) Close() {}

func (s *serialLane) Do(_ context.Context, _ Job, clock Clock) Result {
	s.token <- struct{}{}
	defer func() { <-s.token }()
	if s.stall > 0 && clock() >= s.stallAt {
		time.Sleep(s.stall)
		s.stall = 0
	}
	time.Sleep(time.Millisecond)
	return Result{Outcome: request.Completed, Check: Whole, Ended: clock(), First: clock()}
}

// The system stalls for one second out of ten, so a tenth of the requests wait up to a
// second. A load program that sends the next request only after an answer would see one
// slow request and report a good 99th percentile.
func TestStallShowsInFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := Settings{Run: "r", Mix: mixOfTwo(), Arrivals: Constant, PerSecond: 100, Duration: 10 * time.Second, Seed: 1, MaxInFlight: 1000}
		report, err := Run(context.Background(), s, newSerialLane(4*time.Second, time.Second))
		is.NoErr(err)
		total := report.Lanes[0].Total
		is.Equal(total.Sent, int64(999))
		is.True(total.Whole.P50 < 2000)     // µs: most requests are unaffected
		is.True(total.Whole.P95 > 400_000)  // the stall
		is.True(total.Whole.Max > 990_000)  // its full length
		is.True(total.Whole.P90 < 300_000)  // only the stall is slow
		is.Equal(report.Lag.Max <= 1, true) // requests started on time
	})
}

// More requests run than MaxInFlight allows. The excess must be counted as not sent;
// delaying it silently would hide the overload.
func TestSaturationIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := Settings{Run: "r", Mix: mixOfTwo(), Arrivals: Constant, PerSecond: 100, Duration: 2 * time.Second, WarmUp: time.Second, Seed: 1, MaxInFlight: 5}
		report, err := Run(context.Background(), s, newSerialLane(0, time.Hour))
		is.NoErr(err)
		total := report.Lanes[0].Total
		is.Equal(countOf(total.Codes, codeSaturated), int64(100))
		is.Equal(total.Sent, int64(100)) // without the warm-up
		is.Equal(report.Completed(), int64(0))
	})
}

// The system gets twice the load it can process, and works off its queue after sending
// ends. All requests complete in the end. Counted by start time, throughput would be
// 2,000 per second; the true value is 1,000.
func TestBacklogIsNotWorkDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := Settings{Run: "r", Mix: mixOfTwo(), Arrivals: Constant, PerSecond: 2000, Duration: 3 * time.Second, WarmUp: time.Second, Seed: 1, MaxInFlight: 8192}
		report, err := Run(context.Background(), s, newSerialLane(0, 0))
		is.NoErr(err)
		total := report.Lanes[0].Total
		is.Equal(countOf(total.Outcomes, "completed"), int64(4000)) // all that were sent after the warm-up
		is.True(total.DonePerSecond > 990)
		is.True(total.DonePerSecond < 1010)
	})
}

// Run must stop sending when its context ends, long before the end of the schedule.
func TestEndOfContextStopsSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s := Settings{Run: "r", Mix: mixOfTwo(), Arrivals: Constant, PerSecond: 10, Duration: time.Hour, Seed: 1, MaxInFlight: 5}
		report, err := Run(ctx, s, newSerialLane(0, 0))
		is.NoErr(err)
		is.True(report.Lanes[0].Total.Sent < 11)
	})
}

// mixedUpLane simulates a system that returns foreign and partial answers.
type mixedUpLane struct{ *serialLane }

func (w *mixedUpLane) Do(ctx context.Context, job Job, clock Clock) Result {
	r := w.serialLane.Do(ctx, job, clock)
	r.Check = []Check{Whole, Foreign, Partial}[job.Seq%3]
	return r
}

// A report of two lanes must contain wrong answers and ratios, as text, SVG and JSON.
func TestReportOfTwoLanesInAllFormats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := mixOfTwo()
		m.Work[0].Stream = true
		s := Settings{Run: "r", Mix: m, Arrivals: Poisson, PerSecond: 100, Duration: 3 * time.Second, WarmUp: time.Second, Seed: 1, MaxInFlight: 100}
		report, err := Run(context.Background(), s, newSerialLane(0, 0), &mixedUpLane{newSerialLane(0, 0)})
		is.NoErr(err)
		is.True(report.WrongAnswers() > 0)
		is.Equal(len(report.Ratios), 4) // no gaps between tokens were measured
		var text bytes.Buffer
		is.NoErr(report.Text(&text))
		for _, part := range []string{"foreign", "whole p99", "first token", "often", "seldom", "late by"} {
			is.True(strings.Contains(text.String(), part)) // the text contains the part
		}
		var svg bytes.Buffer
		is.NoErr(report.SVG(&svg))
		is.Equal(strings.Count(svg.String(), "<polyline"), 4)
		is.NoErr(wellFormed(&svg))
		data, err := json.Marshal(report)
		is.NoErr(err)
		var again Report
		is.NoErr(json.Unmarshal(data, &again))
		is.Equal(again.WrongAnswers(), report.WrongAnswers())
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
