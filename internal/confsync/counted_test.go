package confsync_test

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"

	"github.com/hickorybank/hickorybank/internal/peer"
)

// countedCaller is a peer.Caller that counts its calls and the bytes in both directions on its
// connections.
type countedCaller struct {
	calls atomic.Int64
	bytes *atomic.Int64

	mu    sync.Mutex
	conns map[string]*rpc.Client
}

var _ peer.Caller = (*countedCaller)(nil)

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedCaller) Call(ctx context.Context, addr, method string, args, reply any) error {
	c.calls.Add(1)
	client, err := c.client(addr)
	if err != nil {
		return peer.ErrNotSent
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return peer.ErrUnknown
	case <-call.Done:
		return call.Error
	}
}

func (c *countedCaller) client(addr string) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client := c.conns[addr]; client != nil {
		return client, nil
	}
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c.conns[addr] = rpc.NewClient(countedConn{Conn: conn, bytes: c.bytes})
	return c.conns[addr], nil
}

// Close closes the connections.
func (c *countedCaller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.conns {
		_ = client.Close()
	}
}
