package client

import "time"

// Defaults of the options.
const (
	// DefaultTimeout bounds one call, connecting included.
	DefaultTimeout = 5 * time.Second
	// DefaultConnections is how many idle connections are kept.
	DefaultConnections = 64
	// idleTimeout is well below the time after which servers commonly close an
	// idle connection, so that few calls meet one that is just being closed.
	idleTimeout = 30 * time.Second
)

type options struct {
	timeout time.Duration
}

// Option changes a new Client.
type Option func(*options)

// WithTimeout bounds each call but weight downloads; a context may end it
// earlier.
func WithTimeout(d time.Duration) Option {
	return func(o *options) { o.timeout = d }
}

func defaults() options {
	return options{timeout: DefaultTimeout}
}
