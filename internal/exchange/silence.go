package exchange

import (
	"net"
	"time"
)

// noteAlive records that an upstream has sent bytes on a direct connection.
func (p *Pool) noteAlive(now time.Time) { p.settings.NoteAlive(now) }

// start records that a connection carries an exchange; linkLost is as in [Request].
func (p *Pool) start(c *conn, linkLost func() bool) {
	c.begin(linkLost)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.started++
	p.active[c] = p.started
}

// end records that the exchange of a connection has ended.
func (p *Pool) end(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.active, c)
}

// SilentUpstreams returns the hosts and ports that owe bytes on direct connections and have
// sent none for a moment on any.
func (p *Pool) SilentUpstreams(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	silent := map[string]bool{}
	for c := range p.active {
		if !c.relayed && now.Sub(c.silentSince()) >= silentAfter {
			silent[c.addr] = true
		}
	}
	if len(silent) == 0 {
		return nil
	}
	for c := range p.active {
		if now.UnixNano()-c.lastRead.Load() < int64(silentAfter) {
			delete(silent, c.addr)
		}
	}
	var addrs []string
	for addr := range silent {
		if idle := p.idle[addr]; len(idle) == 0 || now.Sub(idle[len(idle)-1].idleSince) >= silentAfter {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// AbortSilent ends what waits on silent direct connections to upstreams whose links are lost:
// idle connections are closed, and exchanges whose [Request.LinkLost] agrees fail with LinkLost.
func (p *Pool) AbortSilent(isLost func(addr string) bool, now time.Time) {
	var closed []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		if isLost(addr) {
			closed = append(closed, list...)
			delete(p.idle, addr)
		}
	}
	silent := map[*conn]uint64{}
	for c, exchange := range p.active {
		if !c.relayed && isLost(c.addr) && now.Sub(c.silentSince()) >= silentAfter {
			silent[c] = exchange
		}
	}
	p.mu.Unlock()
	closeAll(closed)
	for c, exchange := range silent {
		if linkLost := c.linkLost.Load(); linkLost != nil && *linkLost != nil && (*linkLost)() {
			p.abort(c, exchange)
		}
	}
}

// abort ends an exchange. It does nothing if that has ended: the connection may carry another one.
func (p *Pool) abort(c *conn, exchange uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active[c] == exchange {
		c.abort()
	}
}

// Add adds an open connection that carries nothing.
func (p *Pool) Add(addr string, c net.Conn) {
	p.release(p.newConn(addr, c), 0)
}
