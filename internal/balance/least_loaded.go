package balance

// leastLoaded takes the upstream whose last report was the lowest. All nodes
// that hold the same lagging reports choose the same one.
type leastLoaded struct{}

func (leastLoaded) choose(v *view) *host {
	start := int(v.random % uint64(len(v.hosts)))
	var best *host
	var least float64
	for i := range v.hosts {
		h := v.hosts[(start+i)%len(v.hosts)]
		load := h.report.fullness()
		if best == nil || load < least {
			best, least = h, load
		}
	}
	return best
}
