package exchange

import (
	"context"
	"net"
)

// Dialer opens connections to upstreams.
type Dialer interface {
	// Dial connects to a host and port. ctx bounds the connection set-up only.
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// directDialer connects from this host, with the socket options that detect a silent
// upstream.
type directDialer struct {
	dialer   net.Dialer
	settings Settings
}

func newDirectDialer(s Settings) *directDialer {
	return &directDialer{settings: s, dialer: net.Dialer{
		Timeout: s.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeInterval, Interval: probeInterval,
			Count: max(int(s.SilentTimeout/probeInterval), 1),
		},
	}}
}

// Dial implements [Dialer].
func (d *directDialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := d.dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	if err := setUserTimeout(c, d.settings.SilentTimeout); err != nil {
		_ = c.Close() // the error of the socket option is returned
		return nil, err
	}
	return c, nil
}
