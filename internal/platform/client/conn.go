package client

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// conn counts the writes begun on a connection, so that a failed call can tell
// whether any of its bytes may have left.
type conn struct {
	net.Conn
	writes atomic.Uint64
}

// Write counts before it writes: a write that the count does not show has not
// reached the socket.
func (c *conn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

func transport(o options) *http.Transport {
	dialer := new(net.Dialer)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			raw, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: raw}, nil
		},
		MaxIdleConns:        DefaultConnections,
		MaxIdleConnsPerHost: DefaultConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}
