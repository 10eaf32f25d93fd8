package balance

// random takes any upstream, whatever its load.
type random struct{}

func (random) choose(v *view) *host { return v.hosts[v.random%uint64(len(v.hosts))] }
