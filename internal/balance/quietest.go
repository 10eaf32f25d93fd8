package balance

// fewestInFlight chooses the upstream with the fewest requests of this node in flight,
// and the lowest score among equals. It serves isolated requests.
type fewestInFlight struct{}

func (fewestInFlight) choose(s *selection) *host {
	best := s.hosts[0]
	for _, h := range s.hosts[1:] {
		if h.inFlight < best.inFlight || (h.inFlight == best.inFlight && s.score(h) < s.score(best)) {
			best = h
		}
	}
	return best
}
