package balance

// twoChoices takes the better one of two upstreams drawn at random. The draw
// keeps nodes that hold the same lagging reports from choosing alike.
type twoChoices struct{}

func (twoChoices) choose(v *view) *host {
	n := uint64(len(v.hosts))
	first := v.hosts[v.random%n]
	if n == 1 {
		return first
	}
	rest := v.random / n
	second := v.hosts[(v.random%n+1+rest%(n-1))%n]
	if v.score(second) < v.score(first) {
		return second
	}
	return first
}
