package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

// For any arrivals, no period admits more calls than the rate and one burst allow. A
// caller that retries after the returned wait is admitted.
func TestBucketNeverExceedsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 3000).Draw(t, "rate")
		b := NewBucket(rate)
		now := epoch
		var admitted []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(5*time.Millisecond)).Draw(t, "gap")))
			wait, ok := b.Take(now)
			if !ok && rapid.Bool().Draw(t, "waits") {
				now = now.Add(wait)
				if _, ok = b.Take(now); !ok {
					t.Fatalf("refused after waiting %s", wait)
				}
			}
			if ok {
				admitted = append(admitted, now)
			}
		}
		for i := range admitted {
			elapsed := now.Sub(admitted[i]).Seconds()
			if bound := max(1, rate*BurstWindow.Seconds()) + rate*elapsed + 1e-3; float64(len(admitted)-i) > bound {
				t.Fatalf("%d admitted in %fs; at most %f", len(admitted)-i, elapsed, bound)
			}
		}
	})
}

// A caller is refused three times and retries exactly after the last returned wait.
// With tokens counted in floating point, the sum is just under one here and the
// caller is refused again.
func TestWaitIsExact(t *testing.T) {
	is := is.New(t)
	b := NewBucket(0.625)
	_, ok := b.Take(epoch)
	is.True(ok)
	var wait time.Duration
	for ns := range 3 {
		wait, ok = b.Take(epoch.Add(time.Duration(ns + 1)))
		is.True(!ok)
	}
	_, ok = b.Take(epoch.Add(3 + wait - 1))
	is.True(!ok)
	_, ok = b.Take(epoch.Add(3 + wait))
	is.True(ok)
}

func TestBucketReachesItsRate(t *testing.T) {
	is := is.New(t)
	b := NewBucket(500)
	var admitted int
	for ms := range 10_000 {
		if _, ok := b.Take(epoch.Add(time.Duration(ms) * time.Millisecond)); ok {
			admitted++
		}
	}
	is.True(admitted >= 4999)
	is.True(admitted <= 5000+125)
}

func TestBucketRateChanges(t *testing.T) {
	is := is.New(t)
	b := NewBucket(0)
	for range 1000 {
		_, ok := b.Take(epoch)
		is.True(ok)
	}
	b.SetRate(4, epoch)
	_, ok := b.Take(epoch)
	is.True(ok)
	wait, ok := b.Take(epoch)
	is.True(!ok)
	is.Equal(wait, 250*time.Millisecond)
	b.SetRate(0.001, epoch)
	_, ok = b.Take(epoch)
	is.True(!ok)
	b.SetRate(10, epoch)
	wait, ok = b.Take(epoch)
	is.True(!ok)
	is.Equal(wait, 100*time.Millisecond)
	b.SetRate(0, epoch)
	_, ok = b.Take(epoch)
	is.True(ok)
}

func TestPacerSharesTheRate(t *testing.T) {
	is := is.New(t)
	p := NewPacer(1000)
	is.Equal(p.Reserve(500, epoch), 500*time.Millisecond)
	is.Equal(p.Reserve(500, epoch), time.Second)
	is.Equal(p.Reserve(500, epoch.Add(5*time.Second)), 500*time.Millisecond)
	is.Equal(p.Chunk(), int64(minChunk))
	p.SetRate(0)
	is.Equal(p.Reserve(1<<40, epoch), time.Duration(0))
	is.Equal(p.Chunk(), int64(maxChunk))
}

func TestPeakCountsCallsPerClockSecond(t *testing.T) {
	is := is.New(t)
	var p CallCounter
	for _, ms := range []int{0, 400, 999, 1000, 1500, 3000} {
		p.Add(epoch.Add(time.Duration(ms) * time.Millisecond))
	}
	is.Equal(p.Peak(), uint64(3))
	is.Equal(p.Total(), uint64(6))
}
