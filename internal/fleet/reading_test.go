package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Prompts of all sizes are read at 70 µs a token, and half of them wait besides for as long
// again. What a prompt of 40,000 tokens takes by itself is told from these, whatever the
// load was.
func TestPaceOfReadingIsTold(t *testing.T) {
	is := is.New(t)
	f := some(1)
	u := f.Get("u0")
	rnd := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	long := Want{Service: "s", Model: "large", Weight: 1, Tokens: 45000, Parts: []Part{{ID: "p", Tokens: 6250}}}
	is.Equal(f.Reading(&long), time.Duration(0))
	for range 60 {
		w := Want{Service: "s", Model: "large", Weight: 1, Tokens: 300 + rnd.IntN(14000)}
		work := f.Begin(u, &w, now)
		took := time.Duration(w.Tokens) * 70 * time.Microsecond
		if rnd.IntN(2) == 0 {
			took *= 2
		}
		f.Started(u, work, now.Add(took))
		f.End(u, work, Served, now.Add(took))
	}
	told := f.Reading(&long)
	t.Logf("40,000 tokens: %v", told)
	is.True(told >= 2600*time.Millisecond && told <= 3100*time.Millisecond)
	other := long
	other.Model = "small"
	is.Equal(f.Reading(&other), time.Duration(0))
}
