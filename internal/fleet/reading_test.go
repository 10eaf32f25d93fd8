package fleet

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestReadingOfLongPromptsIsPredicted guards against a large model that is asked for
// prompts it can't read in time: a node sees few long ones, and many of those have waited.
func TestReadingOfLongPromptsIsPredicted(t *testing.T) {
	const perToken = 45e-6 // seconds
	rnd := rand.New(rand.NewPCG(3, 4))
	f := New(Settings{Domain: "d0"})
	now := time.Unix(1000, 0)
	f.Put(record("u0"), now)
	for range 40 {
		w := AttemptSpec{Service: "s", Model: "large", Weight: 1, Tokens: 1000 + rnd.IntN(15000)}
		u := f.Choose(w, now)
		work := f.Begin(u, &w, now)
		read := perToken * effectiveTokens(float64(w.Tokens))
		waited := 0.0
		if rnd.IntN(3) == 0 {
			waited = rnd.ExpFloat64() * 0.4
		}
		now = now.Add(time.Duration((read + waited) * float64(time.Second)))
		f.Started(u, work, now)
		f.End(u, work, Served, now)
	}
	for _, tokens := range []int{20000, 40000, 54000} {
		got := f.FirstEvent(&AttemptSpec{Service: "s", Model: "large", Tokens: tokens}, now).Seconds()
		want := perToken * effectiveTokens(float64(tokens))
		t.Logf("%d tokens: %.2f s, read in %.2f s", tokens, got, want)
		if math.Abs(got-want) > 0.2*want+0.2 {
			t.Errorf("%d tokens: predicted %.2f s, read in %.2f s", tokens, got, want)
		}
	}
	if got := f.FirstEvent(&AttemptSpec{Service: "s", Model: "other", Tokens: 9000}, now); got != 0 {
		t.Errorf("%v of a model that nobody has asked", got)
	}
}
