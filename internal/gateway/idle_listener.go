package gateway

import (
	"net"
	"time"
)

// idleListener gives callers' connections the configuration's idle time, which
// may change while the server runs.
type idleListener struct {
	net.Listener
	limit func() time.Duration
}

// Accept wraps each connection.
func (l *idleListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConn{c, l.limit}, nil
}

// idleConn replaces the server's fixed idle time by the one in force.
type idleConn struct {
	net.Conn
	limit func() time.Duration
}

// SetReadDeadline sets a deadline. One that is almost idleMark away is the
// server's for an idle connection: none of its other deadlines are so long.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	if left := time.Until(t); !t.IsZero() && left > idleMark-time.Minute {
		t = time.Now().Add(c.limit())
	}
	return c.Conn.SetReadDeadline(t)
}

// idleLimit is how long a caller's connection may be idle.
func (n *Node) idleLimit() time.Duration {
	if c := n.config.Load(); c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout
	}
	return defaultIdle
}
