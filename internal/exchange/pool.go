package exchange

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/network"
)

// Pool keeps idle connections to upstreams for reuse. It is safe for concurrent use.
type Pool struct {
	settings Settings
	dialer   Dialer

	mu   sync.Mutex
	idle map[string][]*conn
	// active are the connections that carry an exchange, with the number of that exchange. started
	// counts all exchanges.
	active  map[*conn]uint64
	started uint64
	// opened counts the connections opened since the start.
	opened int64
}

// NewPool returns an empty pool; Close closes its idle connections.
func NewPool(s Settings) *Pool {
	s = s.withDefaults()
	if s.Dialer == nil {
		s.Dialer = network.NewProbedDialer(s.DialTimeout, s.SilentTimeout)
	}
	return &Pool{settings: s, dialer: s.Dialer, idle: map[string][]*conn{}, active: map[*conn]uint64{}}
}

// Opened returns how many connections were opened since the start.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Forget closes the idle connections to a host and port.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	closeAll(list)
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	all := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, list := range all {
		closeAll(list)
	}
}

// Sweep closes the connections whose idle timeout has passed at the time now.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
	p.mu.Unlock()
	closeAll(expired)
}

// acquire returns the most recently used healthy idle connection, or opens one. maxIdle
// bounds how long it may have been idle; 0 for no bound of the request's own.
func (p *Pool) acquire(ctx context.Context, addr string, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		now := time.Now()
		recent := maxIdle == 0 || now.Sub(c.idleSince) <= maxIdle
		if recent && now.Before(c.idleUntil) && c.isHealthy() {
			c.reused = true
			return c, nil
		}
		_ = c.Close() // an idle connection carries no request
	}
}

func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.DialTimeout)
	defer cancel()
	nc, err := p.dialer.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return p.newConn(addr, nc), nil
}

// newConn returns an opened connection.
func (p *Pool) newConn(addr string, nc net.Conn) *conn {
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	c := &conn{Conn: nc, addr: addr, pool: p, relayed: isRelayed(nc), headLeft: -1}
	c.in = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// release returns a connection to the pool for up to keep, or Settings.MaxIdle if keep is 0. A
// relayed connection is closed: its peer may stop at any time, without regard to requests
// that are just being written.
func (p *Pool) release(c *conn, keep time.Duration) {
	if c.relayed {
		_ = c.Close() // it carries nothing any more
		return
	}
	now := time.Now()
	if keep <= 0 {
		keep = p.settings.MaxIdle
	}
	c.idleSince = now
	c.idleUntil = now.Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= p.settings.MaxIdlePerUpstream {
		_ = c.Close() // the pool is full; an idle connection carries no request
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

func closeAll(list []*conn) {
	for _, c := range list {
		_ = c.Close() // an idle connection carries no request
	}
}
