package relay

import (
	"io"
	"net"
	"sync"
)

// Split returns a listener for the other users of a peer port. Connections that begin with a
// request for a relayed connection are served by the carrier instead: the first Read of such a
// connection serves it, and then returns io.EOF.
func Split(l net.Listener, c *Carrier) net.Listener { return &splitListener{l, c} }

type splitListener struct {
	net.Listener
	carrier *Carrier
}

// Accept returns the next connection.
func (l *splitListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &splitConn{Conn: c, carrier: l.carrier}, nil
}

// splitConn looks at the first byte of a connection.
type splitConn struct {
	net.Conn
	carrier *Carrier
	first   sync.Once
	// served is set if the carrier has served the connection.
	served bool
}

// Read implements net.Conn.
func (c *splitConn) Read(p []byte) (n int, err error) {
	c.first.Do(func() {
		if len(p) == 0 {
			return
		}
		n, err = c.Conn.Read(p[:1])
		if n == 1 && p[0] == prefaceMark {
			c.served = true
			c.carrier.serve(c.Conn)
		}
	})
	switch {
	case c.served:
		return 0, io.EOF
	case n > 0 || err != nil:
		return n, err
	}
	return c.Conn.Read(p)
}
