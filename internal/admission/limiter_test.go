package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/config"
)

// TestLimitFollowsLatency: upstreams that report nothing can work on so many
// requests at a time; more only wait there. The limit settles near that many,
// from far below as from far above.
func TestLimitFollowsLatency(t *testing.T) {
	for _, places := range []int{12, 60, 300} {
		for _, initial := range []int{4, 32, 600} {
			t.Run(fmt.Sprintf("%d places from %d", places, initial), func(t *testing.T) {
				is := is.New(t)
				l := newLimiter(LimitSettings{Initial: initial}.withDefaults())
				random := rand.New(rand.NewPCG(1, uint64(places)))
				now := time.Duration(0)
				var sum float64
				const steps, tail = 40_000, 10_000
				for i := range steps {
					running := int(l.limit) // there is always more to do
					l.used(running)
					start := 100 * time.Millisecond
					if running > places {
						start += time.Duration(running-places) * time.Second / time.Duration(places)
					}
					start = time.Duration(float64(start) * (0.5 + random.Float64()))
					now += time.Second / time.Duration(places)
					l.observe(Sample{Start: start, Total: start}, now)
					if i >= steps-tail {
						sum += l.limit
					}
				}
				mean := sum / tail
				is.True(mean > 0.8*float64(places))
				is.True(mean < 1.5*float64(places))
			})
		}
	}
}

// TestLatencyOfAQuietPoolChangesNothing: first tokens are late while little
// runs, since a network is slow. The limit stays.
func TestLatencyOfAQuietPoolChangesNothing(t *testing.T) {
	is := is.New(t)
	l := newLimiter(LimitSettings{}.withDefaults())
	now := time.Duration(0)
	for i := range 2000 {
		now += 100 * time.Millisecond
		start := 50 * time.Millisecond
		if i > 1000 {
			start = time.Second
		}
		l.used(3)
		l.observe(Sample{Start: start}, now)
	}
	is.Equal(l.limit, float64(defaultInitialLimit))
}

// TestLimitFollowsReports: a node takes the part of the upstreams' places that
// its own requests have of all, so that nodes shrink together and keep their
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

// TestQueueRunsMoreWhenReportsAllow: requests wait since the upstreams were
// full; the next reports show free places, and the waiting ones run.
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
