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
