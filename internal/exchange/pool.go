package exchange

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

// Pool keeps connections to upstreams.
type Pool struct {
	settings Settings
	dialer   net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
	// opened counts connections opened since the start.
	opened int64
}

// NewPool returns an empty pool.
func NewPool(s Settings) *Pool {
	s = s.withDefaults()
	return &Pool{
		settings: s,
		dialer: net.Dialer{
			Timeout: s.DialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: probeInterval, Interval: probeInterval,
				Count: max(int(s.SilentTimeout/probeInterval), 1),
			},
		},
		idle: map[string][]*conn{},
	}
}

// Opened returns how many connections were opened.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Forget closes the idle connections to an address.
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

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var old []*conn
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
	p.mu.Unlock()
	closeAll(old)
}

// take returns the most recently used idle connection that still lives, or
// opens one.
func (p *Pool) take(ctx context.Context, addr string, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			return p.open(ctx, addr)
		}
		now := time.Now()
		recent := maxIdle == 0 || now.Sub(c.idleSince) <= maxIdle
		if recent && now.Before(c.idleUntil) && c.alive() {
			c.reused = true
			return c, nil
		}
		_ = c.Close() // idle and unusable: nothing is lost
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

func (p *Pool) open(ctx context.Context, addr string) (*conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	if err := tune(nc, p.settings.SilentTimeout); err != nil {
		_ = nc.Close() // the error of the option counts
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &conn{Conn: nc, addr: addr, in: bufio.NewReaderSize(nc, readBuffer)}, nil
}

// put keeps a connection for later requests.
func (p *Pool) put(c *conn, keep time.Duration) {
	now := time.Now()
	if keep <= 0 {
		keep = p.settings.MaxIdle
	}
	c.idleSince = now
	c.idleUntil = now.Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= p.settings.MaxIdlePerUpstream {
		_ = c.Close() // one too many: nothing is lost
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

func closeAll(list []*conn) {
	for _, c := range list {
		_ = c.Close() // idle: nothing is lost
	}
}
