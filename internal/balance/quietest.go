package balance

// quietest takes the upstream with the least work of all, this node's work
// counting first, for a request that wants to be alone.
type quietest struct{}

func (quietest) choose(v *view) *host {
	best := v.hosts[0]
	for _, h := range v.hosts[1:] {
		if h.inFlight < best.inFlight || (h.inFlight == best.inFlight && v.score(h) < v.score(best)) {
			best = h
		}
	}
	return best
}
