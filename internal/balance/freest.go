package balance

// leastScore chooses the upstream with the lowest score, for immediate requests.
// Admission keeps a few slots free for these, and two random choices would mostly draw
// full upstreams. The scan starts at a random host, so equal scores share the work.
type leastScore struct{}

func (leastScore) choose(s *selection) *host {
	start := int(s.random % uint64(len(s.hosts)))
	var best *host
	var lowest float64
	for i := range s.hosts {
		h := s.hosts[(start+i)%len(s.hosts)]
		if score := s.score(h); best == nil || score < lowest {
			best, lowest = h, score
		}
	}
	return best
}
