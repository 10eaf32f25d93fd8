package balance

// freest takes the upstream with the best score of all, for immediate work: it
// finds one of the few free places that admission keeps for it, where two
// choices would mostly draw upstreams that are full. It begins anywhere, so
// that equal scores are shared out.
type freest struct{}

func (freest) choose(v *view) *host {
	start := int(v.random % uint64(len(v.hosts)))
	var best *host
	var least float64
	for i := range v.hosts {
		h := v.hosts[(start+i)%len(v.hosts)]
		if score := v.score(h); best == nil || score < least {
			best, least = h, score
		}
	}
	return best
}
