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

const defaultDialTimeout = time.Second

// Pool is a [Caller] that keeps one connection to each peer it calls.
type Pool struct {
	dial func(ctx context.Context, addr string) (net.Conn, error)

	mu    sync.Mutex
	conns map[string]*rpc.Client
	done  bool
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
	return &Pool{dial: dial, conns: map[string]*rpc.Client{}}
}

// Call calls a method and waits for its answer or the end of ctx. When ctx
// ends first the call may still take effect at the peer.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	client, err := p.client(ctx, addr)
	if err != nil {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		// The connection may be stuck at a frozen peer. Without dropping
		// it each later call would wait out its own timeout too.
		p.drop(addr, client)
		return eris.Wrap(ErrUnknown, ctx.Err().Error())
	case <-call.Done:
		return p.answered(addr, client, call.Error)
	}
}

func (p *Pool) answered(addr string, client *rpc.Client, err error) error {
	var fromMethod rpc.ServerError
	if err == nil || errors.As(err, &fromMethod) {
		return err
	}
	p.drop(addr, client)
	return eris.Wrap(ErrUnknown, err.Error())
}

func (p *Pool) client(ctx context.Context, addr string) (*rpc.Client, error) {
	p.mu.Lock()
	client, ok := p.conns[addr]
	p.mu.Unlock()
	if ok {
		return client, nil
	}
	conn, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return p.keep(addr, rpc.NewClient(conn))
}

// keep stores a new connection, or closes it when another call was faster.
func (p *Pool) keep(addr string, client *rpc.Client) (*rpc.Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done {
		_ = client.Close()
		return nil, net.ErrClosed
	}
	if other, ok := p.conns[addr]; ok {
		_ = client.Close()
		return other, nil
	}
	p.conns[addr] = client
	return client, nil
}

func (p *Pool) drop(addr string, client *rpc.Client) {
	p.mu.Lock()
	if p.conns[addr] == client {
		delete(p.conns, addr)
	}
	p.mu.Unlock()
	_ = client.Close()
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done = true
	for addr, client := range p.conns {
		_ = client.Close()
		delete(p.conns, addr)
	}
}
