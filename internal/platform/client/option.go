package client

import (
	"net"
	"time"
)

// Defaults of a Client.
const (
	// DefaultTimeout is the time limit of one call, including the connection set-up.
	DefaultTimeout = 5 * time.Second
	// DefaultConnections is the maximum number of idle connections.
	DefaultConnections = 64
	// idleTimeout is how long an idle connection is kept. It is well below the time after
	// which servers commonly close one, so that few calls use a connection that the
	// server is closing.
	idleTimeout = 30 * time.Second
)

type options struct {
	timeout time.Duration
	source  net.IP
}

// Option sets an option of a new Client.
type Option func(*options)

// WithTimeout sets the time limit of each call except weight downloads. A context may
// end a call earlier.
func WithTimeout(d time.Duration) Option {
	return func(o *options) { o.timeout = d }
}

// WithSource sets the IP to connect from; nil leaves the choice to the system.
func WithSource(ip net.IP) Option {
	return func(o *options) { o.source = ip }
}

func defaultOptions() options {
	return options{timeout: DefaultTimeout}
}
