// Package network abstracts how a node listens and connects. [OS] is the operating
// system's network; tests use implementations with set bandwidths and faults.
package network

import (
	"context"
	"net"
)

// Network opens TCP connections over IPv4.
type Network interface {
	// Listen listens on addr, an IP address and port.
	Listen(addr string) (net.Listener, error)
	// Dial connects to addr. ctx bounds the connection set-up only, not its use.
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// OS implements [Network] with the operating system's network stack.
type OS struct {
	// Dialer holds the options of outgoing connections.
	Dialer net.Dialer
}

// Listen implements [Network].
func (*OS) Listen(addr string) (net.Listener, error) { return net.Listen("tcp4", addr) }

// Dial implements [Network].
func (o *OS) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return o.Dialer.DialContext(ctx, "tcp4", addr)
}
