package balance

// roundRobin chooses each upstream in turn, whatever its load.
type roundRobin struct{}

func (roundRobin) choose(s *selection) *host {
	s.pool.roundRobinCount++
	return s.hosts[s.pool.roundRobinCount%uint64(len(s.hosts))]
}
