package client

import (
	"context"
	"net"
	"time"
)

// Dialer opens connections to upstreams.
type Dialer interface {
	// Dial connects to a host and port. ctx bounds the connection set-up only.
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// Options configures the connections to upstreams. Zero fields use the defaults.
type Options struct {
	// DialTimeout is the time limit for connecting.
	DialTimeout time.Duration
	// HeaderTimeout is the time limit from the last byte of the request to the headers
	// of the response. An engine sends the headers before the first token.
	HeaderTimeout time.Duration
	// Dialer opens the connections; nil for one that connects from this host. DialTimeout
	// and Source are then its own.
	Dialer Dialer
	// Source is the IP to connect from; nil leaves the choice to the system.
	Source net.IP
	// IdlePerHost is the maximum number of idle connections per upstream.
	IdlePerHost int
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
}

const (
	defaultDialTimeout   = time.Second
	defaultHeaderTimeout = 30 * time.Second
	defaultIdlePerHost   = 64
	defaultIdleTimeout   = 30 * time.Second
)

func (o Options) withDefaults() Options {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.HeaderTimeout == 0 {
		o.HeaderTimeout = defaultHeaderTimeout
	}
	if o.IdlePerHost == 0 {
		o.IdlePerHost = defaultIdlePerHost
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	return o
}
