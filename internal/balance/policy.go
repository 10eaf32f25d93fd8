package balance

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// policy chooses one of the usable upstreams, of which there is at least one.
type policy interface {
	choose(s *selection) *host
}

// selection is the input of a policy: the usable upstreams and the request's attributes.
// It is reused between picks to save allocations.
type selection struct {
	b          *Balancer
	pool       *pool
	hosts      []*host
	prefixHash uint64
	random     uint64
	kind       config.Kind
	now        time.Duration
	loads      []float64
}

func (s *selection) score(h *host) float64 { return s.b.score(s.pool, h, s.now) }

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
