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

// relayedConn is a connection that may pass through a peer. Such a connection carries one
// exchange.
type relayedConn interface{ Relayed() bool }

// isRelayed reports whether the connection passes through a peer.
func isRelayed(c net.Conn) bool {
	r, ok := c.(relayedConn)
	return ok && r.Relayed()
}

// linkError is the error of a dialer that may concern this host's link alone.
type linkError interface{ LinkLost() bool }
