package fleet

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Fails if a large model is chosen for prompts which it cannot prefill in time. A node
// sees few long prompts, and many of them have queued.
func TestPrefillOfLongPromptsIsPredicted(t *testing.T) {
	const perToken = 45e-6 // seconds
	rnd := rand.New(rand.NewPCG(3, 4))
	f := New(Settings{Domain: "d0"})
	now := time.Unix(1000, 0)
	f.Put(testRecord("u0"), now)
	for range 40 {
		spec := AttemptSpec{Service: "s", Model: "large", Weight: 1, Tokens: 1000 + rnd.IntN(15000)}
		u := f.Choose(spec, now)
		work := f.Begin(u, &spec, now)
		prefill := perToken * effectiveTokens(float64(spec.Tokens))
		queued := 0.0
		if rnd.IntN(3) == 0 {
			queued = rnd.ExpFloat64() * 0.4
		}
		now = now.Add(time.Duration((prefill + queued) * float64(time.Second)))
		f.ResponseStarted(u, work, now)
		f.End(u, work, Served, now)
	}
	for _, tokens := range []int{20000, 40000, 54000} {
		got := f.TimeToFirstEvent(&AttemptSpec{Service: "s", Model: "large", Tokens: tokens}, now).Seconds()
		want := perToken * effectiveTokens(float64(tokens))
		t.Logf("%d tokens: predicted %.2f s, prefill takes %.2f s", tokens, got, want)
		if math.Abs(got-want) > 0.2*want+0.2 {
			t.Errorf("%d tokens: predicted %.2f s, prefill takes %.2f s", tokens, got, want)
		}
	}
	if got := f.TimeToFirstEvent(&AttemptSpec{Service: "s", Model: "other", Tokens: 9000}, now); got != 0 {
		t.Errorf("predicted %v for a model without attempts, want 0", got)
	}
}
