package pace

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestIdleWriterGoesAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	p := New(50*time.Millisecond, time.Second)
	is.True(p.Free(now))
	p.Took(now)
	is.True(!p.Free(now.Add(49 * time.Millisecond)))
	is.True(p.Free(now.Add(50 * time.Millisecond)))
}

// A settlement follows its claim within milliseconds, into the same log, and
// waited for the log's gap although nothing was written for seconds before.
func TestSavedWritesGoBeforeTheirGap(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	p := New(50*time.Millisecond, time.Second)
	p.SetBurst(2)
	p.Took(now)
	is.Equal(p.Next(), now.Add(50*time.Millisecond)) // nothing is saved up yet
	now = now.Add(5 * time.Second)
	for range 3 {
		is.True(p.Free(now))
		p.Took(now)
	}
	is.Equal(p.Next(), now.Add(50*time.Millisecond))
	p.Failed(now)
	is.Equal(p.Next(), now.Add(100*time.Millisecond))
}

// The table's limit is for all writes: at any load, and whenever writers come
// and go, there may be no more than one each gap, and the burst.
func TestBurstsStayInTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const gap = 10 * time.Millisecond
		burst := rapid.IntRange(0, 8).Draw(t, "burst")
		p := New(gap, gap)
		p.SetBurst(burst)
		start := time.Unix(100, 0)
		now := start
		var went []time.Time
		for _, wait := range rapid.SliceOf(rapid.IntRange(0, 30)).Draw(t, "waits") {
			now = now.Add(time.Duration(wait) * time.Millisecond)
			if p.Free(now) {
				p.Took(now)
				went = append(went, now)
			}
		}
		for i := range went {
			for j := i; j < len(went); j++ {
				if most := 1 + burst + int(went[j].Sub(went[i])/gap); j-i+1 > most {
					t.Fatalf("%d writes in %s", j-i+1, went[j].Sub(went[i]))
				}
			}
		}
	})
}

// The platform stays overloaded after a burst when refused writers come back
// as often as before. They must come more seldom with each refusal, and find
// back to their gap when writes go through again.
func TestGapFollowsRefusals(t *testing.T) {
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
