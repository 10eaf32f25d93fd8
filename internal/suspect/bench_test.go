package suspect

import (
	"encoding/gob"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// BenchmarkAttempt measures one attempt of no suspect: AdmitAt, Started and Completed.
func BenchmarkAttempt(b *testing.B) {
	for _, peers := range []int{1, 7, 31, 127, 1599} {
		b.Run(fmt.Sprintf("peers-%d", peers), func(b *testing.B) { benchAttempt(b, peers) })
	}
}

func benchAttempt(b *testing.B, peers int) {
	now := epoch
	t := New(Settings{Self: "self"}, now)
	ids := make([]string, peers)
	for i := range ids {
		ids[i] = fmt.Sprintf("node-%d", i)
	}
	t.SetPeers(ids, now)
	f := request.NewFingerprint("org", []byte("body"))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(17 * time.Millisecond)
		answerPulls(t, now)
		t.AdmitAt("attempt", f, "engine", now)
		t.Started("attempt", f, "engine", now)
		t.Completed("attempt", now)
	}
}

func answerPulls(t *Tracker, now time.Time) {
	for _, m := range t.Ready().Messages {
		if m.Kind == Pull {
			t.Step(Message{From: m.To, Born: 1, To: m.From, Kind: Push, Seq: m.Seq, Digest: m.Digest}, now)
		}
	}
}

// BenchmarkIdle measures one second of a node without requests, with the messages and
// bytes that it sends and receives.
func BenchmarkIdle(b *testing.B) {
	for _, peers := range []int{1, 7, 31, 127, 1599} {
		b.Run(fmt.Sprintf("peers-%d", peers), func(b *testing.B) { benchIdle(b, peers) })
	}
}

func benchIdle(b *testing.B, peers int) {
	now := epoch
	t := New(Settings{Self: "self"}, now)
	ids := make([]string, peers)
	for i := range ids {
		ids[i] = fmt.Sprintf("node-%d", i)
	}
	t.SetPeers(ids, now)
	meter := &byteMeter{}
	enc := gob.NewEncoder(meter)
	_ = enc.Encode(Message{})
	meter.n = 0
	messages := 0
	for b.Loop() {
		for range 20 {
			now = now.Add(50 * time.Millisecond)
			t.Tick(now)
			for _, m := range t.Ready().Messages {
				answer := Message{From: m.To, Born: 1, To: m.From, Kind: Push, Seq: m.Seq, Digest: m.Digest}
				_ = enc.Encode(m)
				_ = enc.Encode(answer)
				messages += 2
				t.Step(answer, now)
			}
		}
	}
	b.ReportMetric(float64(messages)/float64(b.N), "messages/s")
	b.ReportMetric(float64(meter.n)/float64(b.N), "payload-B/s")
}

// byteMeter counts the bytes written to it.
type byteMeter struct{ n int }

func (m *byteMeter) Write(p []byte) (int, error) {
	m.n += len(p)
	return io.Discard.Write(p)
}

// BenchmarkAlert measures the bytes of one alert to one peer, after a crash with 16
// suspects.
func BenchmarkAlert(b *testing.B) {
	now := epoch
	t := New(Settings{Self: "self"}, now)
	t.SetPeers([]string{"node-0"}, now)
	meter := &byteMeter{}
	enc := gob.NewEncoder(meter)
	_ = enc.Encode(Message{})
	meter.n = 0
	for i := 0; b.Loop(); i++ {
		now = now.Add(3 * time.Second)
		answerPulls(t, now)
		for k := range 16 {
			a := fmt.Sprint(i, "-", k)
			t.Started(a, request.NewFingerprint("org", []byte(a)), fmt.Sprint("engine-", i), now)
		}
		t.Crashed(CrashID{Upstream: fmt.Sprint("engine-", i)}, now)
		for _, m := range t.Ready().Messages {
			if m.Kind == Alert && len(m.Records) >= 16 {
				m.Records = m.Records[:16]
				_ = enc.Encode(m)
				break
			}
		}
	}
	b.ReportMetric(float64(meter.n)/float64(b.N), "payload-B/op")
}
