package client

import "time"

// Options tunes the connections to upstreams. Zero fields take defaults.
type Options struct {
	// DialTimeout bounds the time until a connection stands.
	DialTimeout time.Duration
	// HeaderTimeout bounds the time from the request's last byte to the
	// answer's header; an engine sends it before the first token.
	HeaderTimeout time.Duration
	// IdlePerHost is how many idle connections are kept to an upstream.
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
