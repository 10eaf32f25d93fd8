package admission

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// BenchmarkOffer is one request's Offer, Finish and Next, with others waiting.
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
		q.Finish(running[0], Sample{Start: time.Millisecond, Total: 2 * time.Millisecond}, now)
		running = running[1:]
		for _, d := range q.Next(now) {
			if d.Verdict == Run {
				running = append(running, d.ID)
			}
		}
	}
}

// BenchmarkRateAllow is one check of an organisation's limit.
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
