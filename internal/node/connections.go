package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minIdle is how long a connection must have been without a request before a planned
	// stop closes it. A caller that has read an answer usually sends its next request at once
	// or much later.
	minIdle = time.Second
	// maxIdleWait bounds the wait for idle connections; a request header may take as long.
	maxIdleWait       = readHeaderTimeout
	idleCheckInterval = 10 * time.Millisecond
)

// connections tracks which of the callers' connections are idle.
//
// It prevents a request that arrives during the shutdown of the server from being broken
// off. net/http treats a connection as idle until the complete header has arrived, and
// drops a header that arrives after the shutdown began, also on a new connection. The
// caller sees the connection end without an answer and cannot know whether its request
// ran. Here a connection is busy from the first byte of a request. With the listener
// closed and each answer ending its connection, the remaining connections become idle,
// and only then is the server shut down.
type connections struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func newConnections() *connections { return &connections{open: map[*callerConn]struct{}{}} }

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	tracker *connections
	// idleSince is when the connection became idle, in Unix nanoseconds. It is 0 while a
	// request is being received or answered.
	idleSince atomic.Int64
}

// Read marks the connection as busy when data arrives.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.idleSince.Store(0)
	}
	return n, err
}

// Close removes the connection from the open ones and closes it.
func (c *callerConn) Close() error {
	c.tracker.mu.Lock()
	delete(c.tracker.open, c)
	c.tracker.mu.Unlock()
	return c.Conn.Close()
}

// SetLinger sets how long a close waits for unsent bytes, in seconds; 0 resets the connection.
func (c *callerConn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}

// callerListener accepts connections of callers and tracks them.
type callerListener struct {
	net.Listener
	tracker *connections
}

// Accept waits for the next connection and adds it to the open ones.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, tracker: l.tracker}
	c.idleSince.Store(time.Now().UnixNano())
	l.tracker.mu.Lock()
	l.tracker.open[c] = struct{}{}
	l.tracker.mu.Unlock()
	return c, nil
}

// stateChanged is the server's ConnState hook; it marks a connection as idle.
func (cs *connections) stateChanged(conn net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	for {
		if c, ok := conn.(*callerConn); ok {
			c.idleSince.Store(time.Now().UnixNano())
			return
		}
		wrapped, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		conn = wrapped.NetConn()
	}
}

// allIdle reports whether all connections have been idle for at least minIdle.
func (cs *connections) allIdle(now time.Time) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.open {
		since := c.idleSince.Load()
		if since == 0 || now.UnixNano()-since < int64(minIdle) {
			return false
		}
	}
	return true
}

// waitIdle waits until all connections are idle, for at most maxIdleWait. The listener must be
// closed before.
func (cs *connections) waitIdle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxIdleWait)
	defer cancel()
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for !cs.allIdle(time.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
