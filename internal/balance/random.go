package balance

// random chooses any upstream, whatever its load.
type random struct{}

func (random) choose(s *selection) *host { return s.hosts[s.random%uint64(len(s.hosts))] }
