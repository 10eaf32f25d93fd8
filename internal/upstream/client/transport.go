package client

import (
	"context"
	"net"
	"net/http"
)

// newTransport returns an HTTP transport whose connections are all of type *sealableConn.
// Compression is off, since it would delay the chunks of a stream.
func newTransport(o Options) *http.Transport {
	dialer := net.Dialer{Timeout: o.DialTimeout}
	if o.Source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: o.Source}
	}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &sealableConn{Conn: c}, nil
	}
	return &http.Transport{
		DialContext:           dial,
		MaxIdleConnsPerHost:   o.IdlePerHost,
		IdleConnTimeout:       o.IdleTimeout,
		ResponseHeaderTimeout: o.HeaderTimeout,
		DisableCompression:    true,
	}
}
