package pacing

import (
	"math/rand/v2"
	"testing"
	"time"

	"golang.org/x/time/rate"
)

// strategy is a way to share an upstream's advertised rate among nodes.
type strategy struct {
	name string
	// limiter returns a node's own limiter, or nil if it sends nothing.
	limiter func(node, nodes int, b Bound) *rate.Limiter
	// central is set if node 0 holds the only limiter and each request calls it.
	central bool
}

func strategies() []strategy {
	return []strategy{
		{name: "equal parts", limiter: func(_, nodes int, b Bound) *rate.Limiter {
			return rate.NewLimiter(rate.Limit(b.Rate/float64(nodes)), 1)
		}},
		{name: "few senders", limiter: func(node, nodes int, b Bound) *rate.Limiter {
			count := min(b.senderCount(), nodes)
			if node >= count {
				return nil
			}
			return rate.NewLimiter(b.ratePerSender(count), b.burstPerSender())
		}},
		{name: "one owner", central: true, limiter: func(node, _ int, b Bound) *rate.Limiter {
			if node > 0 {
				return nil
			}
			return rate.NewLimiter(rate.Limit(b.Rate), max(1, int(b.totalBurst())))
		}},
	}
}

// strategyOutcome is the result of one minute of demand at all nodes.
type strategyOutcome struct {
	// peakArrivals is the maximum number of arrivals within advertisedWindow.
	peakArrivals int
	// utilization is the share of the advertised rate that is used.
	utilization    float64
	callsPerSecond float64
	// utilizationWithoutNode is the utilization while node 0, the first sender, is down.
	utilizationWithoutNode float64
}

// demandPerNode is the demand of each node in requests per second.
const demandPerNode = 4

// maxWithin returns the maximum number of the sorted times that lie within a window.
func maxWithin(sent []time.Time, window time.Duration) (peak int) {
	first := 0
	for last, at := range sent {
		for at.Sub(sent[first]) >= window {
			first++
		}
		peak = max(peak, last-first+1)
	}
	return peak
}

func (s strategy) run(nodes int, perSecond float64) strategyOutcome {
	const duration = time.Minute
	b := AdvertisedBound(perSecond)
	rnd := rand.New(rand.NewPCG(1, 2))
	simulate := func(lostNode int) (sent []time.Time, calls int) {
		limiters := make([]*rate.Limiter, nodes)
		for i := range limiters {
			limiters[i] = s.limiter(i, nodes, b)
		}
		start := time.Unix(1000, 0)
		step := time.Second / time.Duration(nodes*demandPerNode)
		for now := start; now.Before(start.Add(duration)); now = now.Add(step) {
			node := rnd.IntN(nodes)
			if s.central {
				calls++
				node = 0
			}
			if l := limiters[node]; node != lostNode && l != nil && l.AllowN(now, 1) {
				sent = append(sent, now)
			}
		}
		return sent, calls
	}
	sent, calls := simulate(-1)
	sentWithoutNode, _ := simulate(0)
	return strategyOutcome{
		peakArrivals: maxWithin(sent, advertisedWindow), utilization: float64(len(sent)) / (perSecond * duration.Seconds()),
		callsPerSecond: float64(calls) / duration.Seconds(), utilizationWithoutNode: float64(len(sentWithoutNode)) / (perSecond * duration.Seconds()),
	}
}

// No sharing strategy lets more requests through than the bound allows. The test logs the
// utilization and the cost of each strategy.
func TestFewSendersKeepWithinTheBound(t *testing.T) {
	for _, nodes := range []int{8, 84, 1600} {
		for _, perSecond := range []float64{0.3, 2.2, 10, 30} {
			for _, s := range strategies() {
				r := s.run(nodes, perSecond)
				t.Logf("%4d nodes, limit %4.1f/s, %-11s: peak of %4d in 4 s (bound %.0f), utilization %.2f, %.2f without node 0, %.0f calls/s",
					nodes, perSecond, s.name, r.peakArrivals, AdvertisedBound(perSecond).MaxArrivals, r.utilization, r.utilizationWithoutNode, r.callsPerSecond)
				if s.name == "few senders" && float64(r.peakArrivals) > AdvertisedBound(perSecond).MaxArrivals {
					t.Errorf("%d requests arrive within %s, the bound is %.0f", r.peakArrivals, advertisedWindow, AdvertisedBound(perSecond).MaxArrivals)
				}
			}
		}
	}
}
