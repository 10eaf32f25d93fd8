package client

import (
	"context"
	"net"
)

// directDialer connects from this host.
type directDialer struct{ dialer net.Dialer }

// NewDirectDialer returns a dialer that connects from this host, with the options' time limit
// and source.
func NewDirectDialer(o Options) Dialer {
	d := &directDialer{net.Dialer{Timeout: o.withDefaults().DialTimeout}}
	if o.Source != nil {
		d.dialer.LocalAddr = &net.TCPAddr{IP: o.Source}
	}
	return d
}

// Dial implements [Dialer].
func (d *directDialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return d.dialer.DialContext(ctx, "tcp", addr)
}
