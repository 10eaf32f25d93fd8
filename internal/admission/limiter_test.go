package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/config"
)

// Without load reports from the upstreams, the limit still comes close to their capacity.
// The upstreams have a fixed number of slots, and further requests only wait there. The
// limit settles near that number, from far below and from far above.
func TestLimitFollowsLatency(t *testing.T) {
	for _, slots := range []int{12, 60, 300} {
		for _, initial := range []int{4, 32, 600} {
			t.Run(fmt.Sprintf("%d places from %d", slots, initial), func(t *testing.T) {
				is := is.New(t)
				l := newLimiter(LimitSettings{Initial: initial}.withDefaults())
				random := rand.New(rand.NewPCG(1, uint64(slots)))
				now := time.Duration(0)
				var sum float64
				const steps, tail = 40_000, 10_000
				for i := range steps {
					running := int(l.limit) // there is always more work
					l.recordRunning(running)
					start := 100 * time.Millisecond
					if running > slots {
						start += time.Duration(running-slots) * time.Second / time.Duration(slots)
					}
					start = time.Duration(float64(start) * (0.5 + random.Float64()))
					now += time.Second / time.Duration(slots)
					l.observe(Sample{FirstToken: start, Total: start}, now)
					if i >= steps-tail {
						sum += l.limit
					}
				}
				mean := sum / tail
				is.True(mean > 0.8*float64(slots))
				is.True(mean < 1.5*float64(slots))
			})
		}
	}
}

// Fails if the limit shrinks although little runs, because a slow network delays first
// tokens.
func TestLatencyAtLowLoadKeepsLimit(t *testing.T) {
	is := is.New(t)
	l := newLimiter(LimitSettings{}.withDefaults())
	now := time.Duration(0)
	for i := range 2000 {
		now += 100 * time.Millisecond
		start := 50 * time.Millisecond
		if i > 1000 {
			start = time.Second
		}
		l.recordRunning(3)
		l.observe(Sample{FirstToken: start}, now)
	}
	is.Equal(l.limit, float64(defaultInitialLimit))
}

// Nodes shrink evenly. A node takes the part of the upstreams' slots that its own
// requests have in all requests, so that nodes shrink together and keep their
// proportions.
func TestLimitFollowsReports(t *testing.T) {
	for _, c := range []struct {
		name string
		load PoolLoad
		want int
	}{
		{"nothing known", PoolLoad{}, defaultInitialLimit},
		{"idle and alone", PoolLoad{Limit: 288}, 288},
		{"half used", PoolLoad{Running: 144, Limit: 288, Own: 20}, 48},
		{"full", PoolLoad{Running: 288, Limit: 288, Own: 36}, 37},
		{"twice as much as fits", PoolLoad{Running: 288, Queued: 288, Limit: 288, Own: 80}, 41},
		{"nothing of it own", PoolLoad{Running: 288, Queued: 288, Limit: 288}, defaultMinLimit},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := New(Settings{})
			q.Observe("pool", c.load)
			is.Equal(q.Status()[0].Limit, c.want)
		})
	}
}

// Fails if requests keep waiting after new reports show free slots.
func TestQueueRunsMoreWhenReportsAllow(t *testing.T) {
	is := is.New(t)
	q := New(Settings{})
	q.Observe("pool", PoolLoad{Running: 8, Limit: 8, Own: 4})
	waiting := 0
	for i := range 8 {
		d := q.Offer(Request{ID: fmt.Sprint(i), Org: "o", Kind: config.Heavy, Pool: "pool", Deadline: epoch.Add(time.Minute), Now: epoch})
		if d.Verdict == Queued {
			waiting++
		}
	}
	is.Equal(waiting, 3)
	q.Observe("pool", PoolLoad{Running: 8, Limit: 16, Own: 5})
	is.Equal(len(q.Next(epoch.Add(time.Second))), 3)
}
