package network

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// WatchedConn is a connection that knows whether a write has failed.
//
// The operating system reports the error of a connection once. If a concurrent write takes it, a read
// sees a plain end, which is the proper end of a response without a length.
type WatchedConn struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex
	failed  bool
}

// WatchWrites returns a connection that watches the writes of another one.
func WatchWrites(c net.Conn) *WatchedConn { return &WatchedConn{Conn: c} }

// Write implements [net.Conn].
func (c *WatchedConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.failed = c.failed || err != nil
	return n, err
}

// WriteFailed reports whether a write has failed. It ends a write in progress, which counts as failed.
// It is called once reads have reached the end of the connection.
func (c *WatchedConn) WriteFailed() bool {
	if c.SetWriteDeadline(time.Unix(1, 0)) != nil {
		return true // the connection is closed
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	_ = c.SetWriteDeadline(time.Time{}) // as above
	return c.failed
}

// SyscallConn implements [syscall.Conn], if the connection does.
func (c *WatchedConn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
