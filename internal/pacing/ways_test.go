package pacing

import (
	"math/rand/v2"
	"testing"
	"time"

	"golang.org/x/time/rate"
)

// rateWay is a way to share an upstream's named rate among nodes.
type rateWay struct {
	name string
	// limiter is a node's own; nil where it sends nothing.
	limiter func(node, nodes int, b Bound) *rate.Limiter
	// asks is set where each request asks the node that has the limiter.
	asks bool
}

func rateWays() []rateWay {
	return []rateWay{
		{name: "equal parts", limiter: func(_, nodes int, b Bound) *rate.Limiter {
			return rate.NewLimiter(rate.Limit(b.Rate/float64(nodes)), 1)
		}},
		{name: "few senders", limiter: func(node, nodes int, b Bound) *rate.Limiter {
			count := min(b.senderCount(), nodes)
			if node >= count {
				return nil
			}
			return rate.NewLimiter(b.perSender(count), b.burst())
		}},
		{name: "one owner", asks: true, limiter: func(node, _ int, b Bound) *rate.Limiter {
			if node > 0 {
				return nil
			}
			return rate.NewLimiter(rate.Limit(b.Rate), max(1, int(b.bursts())))
		}},
	}
}

// waysRun is what came of a way in a minute of demand at all nodes.
type waysRun struct {
	most  int
	use   float64
	calls float64
	// lost is the use while one node, the first of those that send, is gone.
	lost float64
}

// demandPerNode is how many requests a second each node would send to the upstream.
const demandPerNode = 4

// mostWithin is the most of some times, which are in order, that lie within a window.
func mostWithin(sent []time.Time, window time.Duration) (most int) {
	first := 0
	for last, at := range sent {
		for at.Sub(sent[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func (w rateWay) run(nodes int, perSecond float64) waysRun {
	const length = time.Minute
	b := Named(perSecond)
	rnd := rand.New(rand.NewPCG(1, 2))
	play := func(gone int) (sent []time.Time, calls int) {
		limiters := make([]*rate.Limiter, nodes)
		for i := range limiters {
			limiters[i] = w.limiter(i, nodes, b)
		}
		start := time.Unix(1000, 0)
		step := time.Second / time.Duration(nodes*demandPerNode)
		for now := start; now.Before(start.Add(length)); now = now.Add(step) {
			node := rnd.IntN(nodes)
			if w.asks {
				calls++
				node = 0
			}
			if l := limiters[node]; node != gone && l != nil && l.AllowN(now, 1) {
				sent = append(sent, now)
			}
		}
		return sent, calls
	}
	sent, calls := play(-1)
	rest, _ := play(0)
	return waysRun{
		most: mostWithin(sent, namedWindow), use: float64(len(sent)) / (perSecond * length.Seconds()),
		calls: float64(calls) / length.Seconds(), lost: float64(len(rest)) / (perSecond * length.Seconds()),
	}
}

// TestWaysToShareARate guards against a way of sharing that breaks the bound, and logs what
// each of them is worth.
func TestWaysToShareARate(t *testing.T) {
	for _, nodes := range []int{8, 84, 1600} {
		for _, perSecond := range []float64{0.3, 2.2, 10, 30} {
			for _, w := range rateWays() {
				r := w.run(nodes, perSecond)
				t.Logf("%4d nodes, %4.1f a second, %-11s: %4d in 4 s (%.0f may), use %.2f, %.2f with a node lost, %.0f calls a second",
					nodes, perSecond, w.name, r.most, Named(perSecond).Most, r.use, r.lost, r.calls)
				if w.name == "few senders" && float64(r.most) > Named(perSecond).Most {
					t.Errorf("%d arrive within %s, %.0f may", r.most, namedWindow, Named(perSecond).Most)
				}
			}
		}
	}
}
