package client

import (
	"context"
	"net"
	"net/http"
)

// newTransport returns an HTTP transport whose connections are all of type *sealableConn.
// Compression is off, since it would delay the chunks of a stream.
func newTransport(o Options) (*http.Transport, *openConns) {
	dialer := o.Dialer
	if dialer == nil {
		dialer = NewDirectDialer(o)
	}
	open := newOpenConns(dialer)
	dial := func(ctx context.Context, _, addr string) (net.Conn, error) {
		c, err := dialer.Dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return open.add(addr, c), nil
	}
	return &http.Transport{
		DialContext:           dial,
		MaxIdleConnsPerHost:   o.IdlePerHost,
		IdleConnTimeout:       o.IdleTimeout,
		ResponseHeaderTimeout: o.HeaderTimeout,
		DisableCompression:    true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}, open
}
