package balance

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// policy chooses one of the usable upstreams, of which there is at least one.
type policy interface {
	choose(v *view) *host
}

// view is what a policy sees.
type view struct {
	b      *Balancer
	pool   *pool
	hosts  []*host
	prefix uint64
	random uint64
	kind   config.Kind
	now    time.Duration
	loads  []float64
}

func (v *view) score(h *host) float64 { return v.b.score(v.pool, h, v.now) }

func newPolicy(name PolicyName) policy {
	switch name {
	case PolicyRoundRobin:
		return roundRobin{}
	case PolicyRandom:
		return random{}
	case PolicyLeastLoaded:
		return leastLoaded{}
	case PolicyTwoChoices:
		return twoChoices{}
	}
	return &affinity{}
}
