package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	defaultDialTimeout = time.Second
	// idleTimeout is the time after its last call at which a connection is closed. Roles
	// move between nodes, so that over time each node calls every other one: without a
	// timeout a node in a fleet of 1,600 would hold a connection to each.
	idleTimeout = time.Minute
	// sweepInterval is the minimum time between two searches for idle connections.
	sweepInterval = 10 * time.Second
)

// Pool is a [Caller] that keeps one connection to each peer that it calls, and closes it
// after a minute without calls. It is safe for concurrent use.
type Pool struct {
	dial func(ctx context.Context, addr string) (net.Conn, error)

	mu        sync.Mutex
	conns     map[string]*conn
	lastSweep time.Time
	closed    bool
}

// conn is the connection to one peer.
type conn struct {
	client   *rpc.Client
	inFlight int       // number of running calls
	lastUsed time.Time // end of the last call
}

// NewPool returns a pool that dials unencrypted TCP.
func NewPool() *Pool { return NewSecurePool(nil) }

// NewSecurePool returns a pool that dials TLS over TCP, or unencrypted TCP if tlsConfig is
// nil.
func NewSecurePool(tlsConfig *tls.Config) *Pool { return NewPoolFrom(nil, tlsConfig) }

// NewPoolFrom returns a pool like NewSecurePool that connects from the IP source; nil leaves
// the choice to the system.
func NewPoolFrom(source net.IP, tlsConfig *tls.Config) *Pool {
	netDialer := &net.Dialer{Timeout: defaultDialTimeout}
	if source != nil {
		netDialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		if tlsConfig == nil {
			return netDialer.DialContext(ctx, "tcp", addr)
		}
		return (&tls.Dialer{NetDialer: netDialer, Config: tlsConfig}).DialContext(ctx, "tcp", addr)
	}
	return &Pool{dial: dial, conns: map[string]*conn{}}
}

// Dial opens a connection to a peer, as for calls. It is the caller's own.
func (p *Pool) Dial(ctx context.Context, addr string) (net.Conn, error) { return p.dial(ctx, addr) }

// Call calls a method and waits for its response or the end of ctx. If ctx ends first, Call
// returns [ErrUnknown]: the call may still take effect at the peer.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	c, err := p.acquire(ctx, addr)
	if err != nil {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	defer p.release(c)
	call := c.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		// The connection may be stuck at a frozen peer. If it were kept, each
		// later call would time out as well.
		p.drop(addr, c)
		return eris.Wrap(ErrUnknown, ctx.Err().Error())
	case <-call.Done:
		return p.finish(addr, c, call.Error)
	}
}

// finish returns the error of a completed call. It drops the connection unless the method
// itself returned the error.
func (p *Pool) finish(addr string, c *conn, err error) error {
	var methodErr rpc.ServerError
	if err == nil || errors.As(err, &methodErr) {
		return err
	}
	p.drop(addr, c)
	return eris.Wrap(ErrUnknown, err.Error())
}

// acquire returns the connection to a peer, dialling if there is none, and counts a call on it.
func (p *Pool) acquire(ctx context.Context, addr string) (*conn, error) {
	if c := p.acquireExisting(addr, time.Now()); c != nil {
		return c, nil
	}
	netConn, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return p.add(addr, rpc.NewClient(&boundedConn{Conn: netConn}))
}

// acquireExisting returns the open connection to a peer and counts a call on it, or nil.
func (p *Pool) acquireExisting(addr string, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(now)
	c := p.conns[addr]
	if c != nil {
		c.inFlight++
	}
	return c
}

func (p *Pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.inFlight--
	c.lastUsed = time.Now()
}

// closeIdle closes connections that have been idle for idleTimeout; p.mu is held.
func (p *Pool) closeIdle(now time.Time) {
	if now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
	for addr, c := range p.conns {
		if c.inFlight == 0 && now.Sub(c.lastUsed) > idleTimeout {
			delete(p.conns, addr)
			_ = c.client.Close()
		}
	}
}

// add stores a new connection, or closes it if a concurrent call has stored one already.
func (p *Pool) add(addr string, client *rpc.Client) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = client.Close()
		return nil, net.ErrClosed
	}
	if other, ok := p.conns[addr]; ok {
		_ = client.Close()
		other.inFlight++
		return other, nil
	}
	c := &conn{client: client, inFlight: 1}
	p.conns[addr] = c
	return c, nil
}

func (p *Pool) drop(addr string, c *conn) {
	p.mu.Lock()
	if p.conns[addr] == c {
		delete(p.conns, addr)
	}
	p.mu.Unlock()
	_ = c.client.Close()
}

// Close closes all connections. Later calls fail with [ErrNotSent].
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for addr, c := range p.conns {
		_ = c.client.Close()
		delete(p.conns, addr)
	}
}
