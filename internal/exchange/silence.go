package exchange

import (
	"net"
	"time"
)

// noteAlive records that an upstream has sent bytes on a direct connection.
func (p *Pool) noteAlive(now time.Time) { p.settings.NoteAlive(now) }

// start records that a connection carries an exchange.
func (p *Pool) start(c *conn, abortable bool) {
	c.begin(abortable)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active[c] = struct{}{}
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
// idle connections are closed, and exchanges that may be repeated fail with LinkLost.
func (p *Pool) AbortSilent(isLost func(addr string) bool, now time.Time) {
	var closed []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		if isLost(addr) {
			closed = append(closed, list...)
			delete(p.idle, addr)
		}
	}
	var aborted []*conn
	for c := range p.active {
		if !c.relayed && c.abortable && isLost(c.addr) && now.Sub(c.silentSince()) >= silentAfter {
			aborted = append(aborted, c)
		}
	}
	p.mu.Unlock()
	closeAll(closed)
	for _, c := range aborted {
		c.abort()
	}
}

// Add adds an open connection that carries nothing.
func (p *Pool) Add(addr string, c net.Conn) {
	p.release(p.newConn(addr, c), 0)
}
