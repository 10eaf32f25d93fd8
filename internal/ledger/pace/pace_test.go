package pace

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestIdleWriterIsAllowedAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	p := New(50*time.Millisecond, time.Second)
	is.True(p.Allowed(now))
	p.Sent(now)
	is.True(!p.Allowed(now.Add(49 * time.Millisecond)))
	is.True(p.Allowed(now.Add(50 * time.Millisecond)))
}

// A settlement follows its claim within milliseconds in the same log. Without a burst
// it waits for the log's gap even if the log was idle for seconds before.
func TestBurstIsAllowedAfterIdleTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	p := New(50*time.Millisecond, time.Second)
	p.SetBurst(2)
	p.Sent(now)
	is.Equal(p.Next(), now.Add(50*time.Millisecond)) // a new writer has no burst yet
	now = now.Add(5 * time.Second)
	for range 3 {
		is.True(p.Allowed(now))
		p.Sent(now)
	}
	is.Equal(p.Next(), now.Add(50*time.Millisecond))
	p.Failed(now)
	is.Equal(p.Next(), now.Add(100*time.Millisecond))
}

// The table's limit counts all writes. A pace that allows more than one write per gap
// plus the burst, in any span of time, exceeds the limit.
func TestBurstsStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const gap = 10 * time.Millisecond
		burst := rapid.IntRange(0, 8).Draw(t, "burst")
		p := New(gap, gap)
		p.SetBurst(burst)
		start := time.Unix(100, 0)
		now := start
		var sent []time.Time
		for _, wait := range rapid.SliceOf(rapid.IntRange(0, 30)).Draw(t, "waits") {
			now = now.Add(time.Duration(wait) * time.Millisecond)
			if p.Allowed(now) {
				p.Sent(now)
				sent = append(sent, now)
			}
		}
		for i := range sent {
			for j := i; j < len(sent); j++ {
				if limit := 1 + burst + int(sent[j].Sub(sent[i])/gap); j-i+1 > limit {
					t.Fatalf("%d writes in %s", j-i+1, sent[j].Sub(sent[i]))
				}
			}
		}
	})
}

// An overloaded platform stays overloaded if refused writers retry at an unchanged
// rate. Each refusal must widen the gap, and successes must narrow it to the minimum.
func TestRefusalsWidenAndSuccessesNarrowTheGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(10*time.Millisecond, time.Second)
		now := time.Unix(100, 0)
		for _, refused := range rapid.SliceOf(rapid.Bool()).Draw(t, "refused") {
			before := p.Gap()
			if refused {
				p.Failed(now)
			} else {
				p.Succeeded()
			}
			if p.Gap() < 10*time.Millisecond || p.Gap() > time.Second {
				t.Fatalf("gap %s out of bounds", p.Gap())
			}
			if refused && p.Gap() < before || !refused && p.Gap() > before {
				t.Fatalf("gap went from %s to %s", before, p.Gap())
			}
		}
		for range 100 {
			p.Succeeded()
		}
		if p.Gap() > 11*time.Millisecond {
			t.Fatalf("gap stays at %s", p.Gap())
		}
	})
}
