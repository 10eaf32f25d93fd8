package balance

// leastLoaded chooses the upstream with the lowest load in its last report. All nodes
// that hold the same delayed reports choose the same one.
type leastLoaded struct{}

func (leastLoaded) choose(s *selection) *host {
	start := int(s.random % uint64(len(s.hosts)))
	var best *host
	var lowest float64
	for i := range s.hosts {
		h := s.hosts[(start+i)%len(s.hosts)]
		load := h.report.utilisation()
		if best == nil || load < lowest {
			best, lowest = h, load
		}
	}
	return best
}
