package gateway

import (
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/hedge"
	"github.com/hickorybank/hickorybank/internal/route"
)

// runTimes holds how long the answered attempts of each route took, from their start to their end.
type runTimes struct {
	mu      sync.Mutex
	byRoute map[string]*hedge.Quantile
}

// maxRunTimes bounds the routes that are remembered; beyond it all are learned anew.
const maxRunTimes = 4096

func newRunTimes() *runTimes { return &runTimes{byRoute: map[string]*hedge.Quantile{}} }

func (t *runTimes) observe(routeName string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.byRoute[routeName]
	if q == nil {
		if len(t.byRoute) >= maxRunTimes {
			clear(t.byRoute)
		}
		q = &hedge.Quantile{}
		t.byRoute[routeName] = q
	}
	q.Observe(took)
}

// usual returns how long nearly all attempts of a route take: its latency goal while few are known.
func (t *runTimes) usual(r *route.Route) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.byRoute[r.Name].Value(); ok {
		return d
	}
	return r.LatencyGoal
}
