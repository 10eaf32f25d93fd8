package balance

import "github.com/hickorybank/hickorybank/internal/config"

const (
	// affinityLoadFactor bounds the load of the upstream that a prefix hashes to, as a
	// multiple of the pool's mean load.
	affinityLoadFactor = 1.25
	// fullLoadFactor is the bound for an upstream that has more requests than it batches.
	// There, queueing costs more than a cached prefix saves.
	fullLoadFactor = 1.05
)

// affinity sends requests with the same prefix to the same upstream, whose cache holds
// that prefix. It uses rendezvous hashing, so all nodes choose alike. An upstream whose
// load exceeds the bound is skipped in favour of the next one by hash. Requests without a
// prefix use twoChoices, and immediate requests use leastScore.
type affinity struct{}

func (*affinity) choose(s *selection) *host {
	if s.kind == config.Immediate {
		return leastScore{}.choose(s)
	}
	if s.prefixHash == 0 {
		return twoChoices{}.choose(s)
	}
	mean := s.measureLoads()
	bound := min(mean*affinityLoadFactor, max(1, mean*fullLoadFactor))
	var best *host
	var highestRank uint64
	for i, h := range s.hosts {
		if s.loads[i] > bound {
			continue
		}
		if hashRank := mix(s.prefixHash, h.hash); best == nil || hashRank > highestRank {
			best, highestRank = h, hashRank
		}
	}
	if best == nil {
		return twoChoices{}.choose(s)
	}
	return best
}

// measureLoads fills in the loads of the hosts and returns their mean. The mean is at
// least that of one request on each upstream.
func (s *selection) measureLoads() float64 {
	s.loads = s.loads[:0]
	var sum, minSum float64
	for _, h := range s.hosts {
		load := s.b.load(s.pool, h, s.now)
		s.loads = append(s.loads, load)
		sum += load
		minSum += 1 / s.b.hostCapacity(s.pool, h, s.now)
	}
	return max(sum, minSum) / float64(len(s.hosts))
}
