package model

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// outcome is the result of one request.
type outcome struct {
	first, finished time.Duration
	tokens          int32
}

// Skipping steps must give the same event times as executing each step, for any
// submissions and cancellations.
func TestSkippedStepsKeepEventTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{BatchLimit: rapid.IntRange(1, 4).Draw(t, "batch"), CacheEntries: 2}
		cfg.StepBase, cfg.StepSlope = Steps(10 * time.Millisecond)
		skipping, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		cfg.EveryToken = true
		stepping, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		n := rapid.IntRange(1, 40).Draw(t, "n")
		a, b := make(map[uint64]outcome), make(map[uint64]outcome)
		var now time.Duration
		for id := range uint64(n) {
			now += time.Duration(rapid.IntRange(0, 60_000_000).Draw(t, "gap"))
			collect(t, a, skipping.Advance(now, nil))
			collect(t, b, stepping.Advance(now, nil))
			r := drawRequest(t, id)
			ja, _ := skipping.Submit(now, r)
			jb, _ := stepping.Submit(now, r)
			if rapid.IntRange(0, 9).Draw(t, "cancel") == 0 {
				now += time.Millisecond
				collect(t, a, skipping.Advance(now, nil))
				collect(t, b, stepping.Advance(now, nil))
				if skipping.Cancel(now, ja) != stepping.Cancel(now, jb) {
					t.Fatal("cancel differs")
				}
			}
		}
		collect(t, a, skipping.Advance(time.Hour, nil))
		collect(t, b, stepping.Advance(time.Hour, nil))
		compare(t, a, b)
		if skipping.Running()+skipping.Queued()+stepping.Running()+stepping.Queued() != 0 {
			t.Fatal("work is left after an hour")
		}
	})
}

func drawRequest(t *rapid.T, id uint64) Request {
	return Request{
		ID:       id,
		Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
		Prefix:   uint64(rapid.IntRange(0, 3).Draw(t, "prefix")),
		Prefill:  time.Duration(rapid.IntRange(0, 100).Draw(t, "prefill")) * time.Millisecond,
		Tokens:   rapid.IntRange(0, 30).Draw(t, "tokens"),
	}
}

func collect(t *rapid.T, to map[uint64]outcome, events []Event) {
	for _, ev := range events {
		o := to[ev.ID]
		switch ev.Kind {
		case Started:
		case First:
			o.first = ev.At
			o.tokens = ev.Count
		case Token:
			if ev.Count != o.tokens+1 {
				t.Fatalf("request %d: token %d follows %d", ev.ID, ev.Count, o.tokens)
			}
			o.tokens = ev.Count
		case Finished:
			o.finished = ev.At
			o.tokens = ev.Count
		}
		to[ev.ID] = o
	}
}

func compare(t *rapid.T, a, b map[uint64]outcome) {
	if len(a) != len(b) {
		t.Fatalf("%d requests against %d", len(a), len(b))
	}
	for id, o := range a {
		if b[id].first != o.first || b[id].finished != o.finished {
			t.Fatalf("request %d: %v against %v", id, o, b[id])
		}
		if o.finished != 0 && b[id].tokens != o.tokens {
			t.Fatalf("request %d: %v against %v", id, o, b[id])
		}
	}
}

func TestConfigValidate(t *testing.T) {
	is := is.New(t)
	good := Config{BatchLimit: 1, StepBase: 1}
	is.NoErr(good.Validate())
	for _, bad := range []func(c *Config){
		func(c *Config) { c.BatchLimit = 0 },
		func(c *Config) { c.StepBase = 0 },
		func(c *Config) { c.StepSlope = -1 },
		func(c *Config) { c.CacheEntries = -1 },
		func(c *Config) { c.CacheEventGaps = 1001 },
	} {
		c := good
		bad(&c)
		_, err := New(c)
		is.True(err != nil)
	}
}

// The cache must evict the same prefixes as a list in the order of last use.
func TestPrefixCacheMatchesListModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		c := newPrefixCache(limit)
		var list []uint64 // the oldest first
		for range rapid.IntRange(1, 100).Draw(t, "n") {
			p := uint64(rapid.IntRange(1, 8).Draw(t, "prefix"))
			at := position(list, p)
			_, evicted, gone := c.store(p)
			switch {
			case at >= 0:
				list = append(list[:at], list[at+1:]...)
			case len(list) == limit:
				if !evicted || gone != list[0] {
					t.Fatalf("evicted %v %d, want %d", evicted, gone, list[0])
				}
				list = list[1:]
			}
			list = append(list, p)
			for q := range uint64(9) {
				if c.has(q) != (position(list, q) >= 0) {
					t.Fatalf("has(%d) is %v, list %v", q, c.has(q), list)
				}
			}
		}
	})
}

func position(list []uint64, p uint64) int {
	for i, q := range list {
		if q == p {
			return i
		}
	}
	return -1
}

// BenchmarkRequest measures one request from Submit to Finished on an engine with a full
// batch, and the simulated steps per second.
func BenchmarkRequest(b *testing.B) {
	cfg := Config{BatchLimit: 64, CacheEntries: 64, LoadLag: time.Second}
	cfg.StepBase, cfg.StepSlope = Steps(10 * time.Millisecond)
	e, err := New(cfg)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	var events []Event
	var now time.Duration
	var id uint64
	for b.Loop() {
		for e.Running()+e.Queued() < cfg.BatchLimit+8 {
			id++
			e.Submit(now, Request{ID: id, Prefix: id % 100, Prefill: 200 * time.Millisecond, Tokens: 200 + int(id%100)})
		}
		finished := false
		for !finished {
			now, _ = e.Next()
			events = e.Advance(now, events[:0])
			finished = e.Running()+e.Queued() < cfg.BatchLimit+8
		}
	}
	b.ReportMetric(float64(e.step)/b.Elapsed().Seconds(), "steps/s")
}

// BenchmarkStepEveryToken measures one step of a full batch with an event for every
// token.
func BenchmarkStepEveryToken(b *testing.B) {
	cfg := Config{BatchLimit: 64, EveryToken: true}
	cfg.StepBase, cfg.StepSlope = Steps(10 * time.Millisecond)
	e, err := New(cfg)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	var events []Event
	var now time.Duration
	for b.Loop() {
		for e.Running()+e.Queued() < cfg.BatchLimit {
			e.Submit(now, Request{Tokens: 256})
		}
		now, _ = e.Next()
		events = e.Advance(now, events[:0])
	}
}
