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
	// Duties move from node to node, so that in time each node has called
	// every other one. Without an end to idle connections a node of a fleet
	// of 1,600 would hold one to each.
	idleLimit = time.Minute
	sweepGap  = 10 * time.Second
)

// Pool is a [Caller] that keeps one connection to each peer it calls.
type Pool struct {
	dial func(ctx context.Context, addr string) (net.Conn, error)

	mu    sync.Mutex
	conns map[string]*conn
	swept time.Time
	done  bool
}

// conn is the connection to one peer.
type conn struct {
	client *rpc.Client
	calls  int       // in flight
	used   time.Time // end of the last call
}

// NewPool returns a pool that dials TCP in the clear.
func NewPool() *Pool { return NewSecurePool(nil) }

// NewSecurePool returns a pool that dials TCP, in TLS when secure is not nil.
func NewSecurePool(secure *tls.Config) *Pool {
	plain := &net.Dialer{Timeout: defaultDialTimeout}
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		if secure == nil {
			return plain.DialContext(ctx, "tcp", addr)
		}
		return (&tls.Dialer{NetDialer: plain, Config: secure}).DialContext(ctx, "tcp", addr)
	}
	return &Pool{dial: dial, conns: map[string]*conn{}}
}

// Call calls a method and waits for its answer or the end of ctx. When ctx
// ends first the call may still take effect at the peer.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	c, err := p.take(ctx, addr)
	if err != nil {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	defer p.release(c)
	call := c.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		// The connection may be stuck at a frozen peer. Without dropping
		// it each later call would wait out its own timeout too.
		p.drop(addr, c)
		return eris.Wrap(ErrUnknown, ctx.Err().Error())
	case <-call.Done:
		return p.answered(addr, c, call.Error)
	}
}

func (p *Pool) answered(addr string, c *conn, err error) error {
	var fromMethod rpc.ServerError
	if err == nil || errors.As(err, &fromMethod) {
		return err
	}
	p.drop(addr, c)
	return eris.Wrap(ErrUnknown, err.Error())
}

// take returns the connection to a peer, counted as in use.
func (p *Pool) take(ctx context.Context, addr string) (*conn, error) {
	if c := p.kept(addr, time.Now()); c != nil {
		return c, nil
	}
	dialled, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return p.keep(addr, rpc.NewClient(dialled))
}

func (p *Pool) kept(addr string, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	c := p.conns[addr]
	if c != nil {
		c.calls++
	}
	return c
}

func (p *Pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls--
	c.used = time.Now()
}

// sweep closes what has been idle for long; p.mu is held.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.swept) < sweepGap {
		return
	}
	p.swept = now
	for addr, c := range p.conns {
		if c.calls == 0 && now.Sub(c.used) > idleLimit {
			delete(p.conns, addr)
			_ = c.client.Close()
		}
	}
}

// keep stores a new connection, or closes it when another call was faster.
func (p *Pool) keep(addr string, client *rpc.Client) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done {
		_ = client.Close()
		return nil, net.ErrClosed
	}
	if other, ok := p.conns[addr]; ok {
		_ = client.Close()
		other.calls++
		return other, nil
	}
	c := &conn{client: client, calls: 1}
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

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done = true
	for addr, c := range p.conns {
		_ = c.client.Close()
		delete(p.conns, addr)
	}
}
