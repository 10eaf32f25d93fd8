package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickorybank/hickorybank/internal/notice"
)

// TestLimitSpreadsAmongManyNodes guards against a limit that stays with the few nodes which
// have read it, and logs how long it takes by pairs of nodes that exchange news, without
// what is told at once.
func TestLimitSpreadsAmongManyNodes(t *testing.T) {
	const step, most = 20 * time.Millisecond, 30 * time.Second
	for _, count := range []int{8, 84, 300} {
		rnd := rand.New(rand.NewPCG(1, uint64(count)))
		start := time.Unix(1000, 0)
		w := newNewsWorld(count, 0, start)
		first := w.nodes[0]
		first.Answered(first.Get("needy"), notice.Answer{Limit: notice.Limit{Named: true, PerSecond: 2}}, start, start)
		now := start
		for ; w.known() < count && now.Sub(start) < most; now = now.Add(step) {
			w.exchangeBy(now, rnd.IntN, func() time.Duration { return time.Duration(rnd.Int64N(int64(newsDelay))) })
		}
		t.Logf("%3d nodes: all know after %s", count, now.Sub(start))
		if w.known() < count {
			t.Errorf("%d of %d nodes know the limit after %s", w.known(), count, most)
		}
	}
}

// known is how many nodes know the limit.
func (w *newsWorld) known() (count int) {
	for _, f := range w.nodes {
		if f.Get("needy").limited() {
			count++
		}
	}
	return count
}
