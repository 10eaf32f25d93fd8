package balance

// twoChoices chooses the better one of two random upstreams. The random draw keeps nodes
// with the same delayed reports from choosing alike.
type twoChoices struct{}

func (twoChoices) choose(s *selection) *host {
	n := uint64(len(s.hosts))
	first := s.hosts[s.random%n]
	if n == 1 {
		return first
	}
	remaining := s.random / n
	second := s.hosts[(s.random%n+1+remaining%(n-1))%n]
	if s.score(second) < s.score(first) {
		return second
	}
	return first
}
