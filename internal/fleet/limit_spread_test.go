package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickorybank/hickorybank/internal/notice"
)

// A limit spreads beyond the few nodes which have read it. The test logs the time until
// all nodes know it by pairwise exchange alone, without immediate messages.
func TestLimitReachesAllNodesByGossip(t *testing.T) {
	const step, most = 20 * time.Millisecond, 30 * time.Second
	for _, count := range []int{8, 84, 300} {
		rnd := rand.New(rand.NewPCG(1, uint64(count)))
		start := time.Unix(1000, 0)
		s := newGossipSimulation(count, 0, start)
		first := s.nodes[0]
		first.ApplyResponse(first.Get("needy"), notice.Response{Limit: notice.Limit{Named: true, PerSecond: 2}}, start, start)
		now := start
		for ; s.informedNodes() < count && now.Sub(start) < most; now = now.Add(step) {
			s.exchangeWith(now, rnd.IntN, func() time.Duration { return time.Duration(rnd.Int64N(int64(maxGossipDelay))) })
		}
		t.Logf("%3d nodes: all know the limit after %s", count, now.Sub(start))
		if s.informedNodes() < count {
			t.Errorf("%d of %d nodes know the limit after %s", s.informedNodes(), count, most)
		}
	}
}

// informedNodes returns the number of nodes that know the limit.
func (s *gossipSimulation) informedNodes() (count int) {
	for _, f := range s.nodes {
		if f.Get("needy").limited() {
			count++
		}
	}
	return count
}
