package balance

import "github.com/hickorybank/hickorybank/internal/config"

const (
	// affinityBound is how far above the pool's mean load the upstream of a
	// prefix may be.
	affinityBound = 1.25
	// fullBound is the same for an upstream that has more than it batches: a
	// request that waits there loses more than a cached prefix saves.
	fullBound = 1.05
)

// affinity keeps a prefix on the upstream whose cache holds it, by rendezvous
// hashing that is the same on every node, as long as that upstream's load
// stays within a bound of the mean and of its batch; beyond it the next of the
// order takes over. Work without a prefix takes two choices, and immediate work
// the freest upstream.
type affinity struct{}

func (*affinity) choose(v *view) *host {
	if v.kind == config.Immediate {
		return freest{}.choose(v)
	}
	if v.prefix == 0 {
		return twoChoices{}.choose(v)
	}
	mean := v.measure()
	bound := min(mean*affinityBound, max(1, mean*fullBound))
	var best *host
	var highest uint64
	for i, h := range v.hosts {
		if v.loads[i] > bound {
			continue
		}
		if rank := mix(v.prefix, h.hash); best == nil || rank > highest {
			best, highest = h, rank
		}
	}
	if best == nil {
		return twoChoices{}.choose(v)
	}
	return best
}

// measure fills in the loads and returns their mean. It is at least that of
// one request for each upstream.
func (v *view) measure() float64 {
	v.loads = v.loads[:0]
	var sum, least float64
	for _, h := range v.hosts {
		load := v.b.load(v.pool, h, v.now)
		v.loads = append(v.loads, load)
		sum += load
		least += 1 / v.b.capacity(v.pool, h, v.now)
	}
	return max(sum, least) / float64(len(v.hosts))
}
