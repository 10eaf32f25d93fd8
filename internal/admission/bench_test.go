package admission

import (
	"encoding/gob"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// BenchmarkOffer measures one request's Offer, Finish and Next while others wait.
func BenchmarkOffer(b *testing.B) {
	for _, waiting := range []int{0, 32, 128, 512} {
		b.Run(strconv.Itoa(waiting), func(b *testing.B) { benchOffer(b, waiting) })
	}
}

func benchOffer(b *testing.B, waiting int) {
	q := New(Settings{Limit: LimitSettings{Initial: 64, Min: 64, Max: 64}, MaxWait: WaitSettings{Heavy: time.Hour}})
	now := epoch
	offer := func(i int) Decision {
		return q.Offer(Request{ID: strconv.Itoa(i), Org: fmt.Sprint("org-", i%10), Weight: 1, Kind: config.Heavy, Pool: "v@1", Deadline: now.Add(time.Hour), Now: now})
	}
	var running []string
	next := 0
	for ; next < 64+waiting; next++ {
		if offer(next).Verdict == Run {
			running = append(running, strconv.Itoa(next))
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		d := offer(next)
		next++
		if d.Verdict == Run {
			running = append(running, d.ID)
		}
		q.Finish(running[0], Sample{FirstToken: time.Millisecond, Total: 2 * time.Millisecond}, now)
		running = running[1:]
		for _, d := range q.Next(now) {
			if d.Verdict == Run {
				running = append(running, d.ID)
			}
		}
	}
}

// BenchmarkRateAllow measures one check of an organisation's limit.
func BenchmarkRateAllow(b *testing.B) {
	l := NewRateLimiter(RateSettings{Self: "a"})
	l.SetLimits([]Limit{{Org: "org", PerSecond: 1e6}}, epoch)
	l.SetNodes([]string{"a", "b"}, epoch)
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		l.Allow("org", now)
	}
}

// BenchmarkSummary measures one period of a node: its summary to a holder, the holder's
// work and the grant, with their size in bytes.
func BenchmarkSummary(b *testing.B) {
	for _, orgs := range []int{1, 10, 100} {
		b.Run(strconv.Itoa(orgs), func(b *testing.B) { benchSummary(b, orgs) })
	}
}

func benchSummary(b *testing.B, orgs int) {
	var limits []Limit
	for i := range orgs {
		limits = append(limits, Limit{Org: fmt.Sprintf("organisation-%d", i), PerSecond: 1000})
	}
	l := NewRateLimiter(RateSettings{Self: "a"})
	h := NewRateHolder(RateSettings{Self: "b"})
	l.SetLimits(limits, epoch)
	h.SetLimits(limits, epoch)
	l.SetNodes([]string{"a", "b"}, epoch)
	var out countingWriter
	enc := gob.NewEncoder(&out)
	_ = enc.Encode(Summary{})
	_ = enc.Encode(Grant{})
	out.n = 0
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second)
		for _, limit := range limits {
			l.Allow(limit.Org, now)
		}
		for _, s := range l.Summaries(now) {
			g := h.HandleSummary(s, now)
			_ = enc.Encode(s)
			_ = enc.Encode(g)
			l.ApplyGrant(g, now)
		}
	}
	b.ReportMetric(float64(out.n)/float64(b.N), "payload-B/op")
}

// countingWriter counts the bytes written to it.
type countingWriter struct{ n int }

func (w *countingWriter) Write(p []byte) (int, error) {
	w.n += len(p)
	return len(p), nil
}
