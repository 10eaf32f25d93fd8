package gateway

import (
	"net"
	"time"
)

// idleListener applies the configuration's idle timeout to callers' connections; it may
// change while the server runs.
type idleListener struct {
	net.Listener
	limit func() time.Duration
}

// Accept waits for a connection and wraps it.
func (l *idleListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConn{c, l.limit}, nil
}

// idleConn replaces the server's fixed idle timeout by the configured one.
type idleConn struct {
	net.Conn
	limit func() time.Duration
}

// SetReadDeadline sets a read deadline. One that is almost idleSentinel away is the
// server's for an idle connection, as none of its other deadlines is that long.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	if left := time.Until(t); !t.IsZero() && left > idleSentinel-time.Minute {
		t = time.Now().Add(c.limit())
	}
	return c.Conn.SetReadDeadline(t)
}

// SetLinger sets how long a close waits for unsent bytes, in seconds; 0 resets the connection.
func (c *idleConn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}

// NetConn returns the connection that is wrapped.
func (c *idleConn) NetConn() net.Conn { return c.Conn }

// idleLimit returns how long a caller's connection may be idle.
func (n *Node) idleLimit() time.Duration {
	if c := n.config.Load(); c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}
