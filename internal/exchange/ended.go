package exchange

// DropEnded closes the idle connections to a host and port that their upstream has ended, and
// reports whether there were any. An upstream ends them when it crashes, or once they were idle
// for long.
func (p *Pool) DropEnded(addr string) bool {
	p.mu.Lock()
	list := p.idle[addr]
	var kept, ended []*conn
	for _, c := range list {
		if c.isHealthy() {
			kept = append(kept, c)
		} else {
			ended = append(ended, c)
		}
	}
	if len(kept) > 0 {
		p.idle[addr] = kept
	} else {
		delete(p.idle, addr)
	}
	p.mu.Unlock()
	closeAll(ended)
	return len(ended) > 0
}
