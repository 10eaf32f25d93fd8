package balance

// roundRobin takes each upstream in turn, whatever its load.
type roundRobin struct{}

func (roundRobin) choose(v *view) *host {
	v.pool.turn++
	return v.hosts[v.pool.turn%uint64(len(v.hosts))]
}
