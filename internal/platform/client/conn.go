package client

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/hickorybank/hickorybank/internal/httphead"
)

// countingConn counts the writes started on a connection. The count shows whether any
// byte of a failed call may have been sent.
type countingConn struct {
	net.Conn
	// checked is the same connection; it checks responses. Nil for none.
	checked *httphead.Conn
	writes  atomic.Uint64
}

// Write increments the counter before it writes, so that a write that is not counted
// has not reached the socket.
func (c *countingConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// maxHeaderBytes is the maximum size of a response's header.
const maxHeaderBytes = 32 << 10

// newTransport returns an HTTP transport whose connections are all of type
// *countingConn.
func newTransport(o options) *http.Transport {
	dialer := new(net.Dialer)
	if o.source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: o.source}
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			raw, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			checked := httphead.NewConn(raw)
			return &countingConn{Conn: checked, checked: checked}, nil
		},
		MaxIdleConns:        DefaultConnections,
		MaxIdleConnsPerHost: DefaultConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
