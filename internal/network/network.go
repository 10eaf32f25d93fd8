// Package network is how a node listens and connects. The machine's own network
// is [OS]; tests pass one with bandwidths and faults of their own.
package network

import (
	"context"
	"net"
)

// Network opens TCP connections over IPv4.
type Network interface {
	// Listen takes an address, IP and port.
	Listen(addr string) (net.Listener, error)
	// Dial connects to an address; ctx bounds the opening only.
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// OS is the machine's own network.
type OS struct {
	// Dialer sets the options of connections that are opened.
	Dialer net.Dialer
}

// Listen takes an address of the machine.
func (*OS) Listen(addr string) (net.Listener, error) { return net.Listen("tcp4", addr) }

// Dial connects to an address.
func (o *OS) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return o.Dialer.DialContext(ctx, "tcp4", addr)
}
