package exchange

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a connection to an upstream. It carries one exchange at a time.
type conn struct {
	net.Conn
	addr      string
	in        *bufio.Reader
	idleSince time.Time
	idleUntil time.Time
	reused    bool
}

// isHealthy reports whether an idle connection may carry another request.
//
// It detects a connection that the upstream has closed, or on which it has sent
// unsolicited bytes: both make the idle connection readable. The check sees only what
// the kernel has received, not what is still in transit. A request that is not
// idempotent therefore also requires a recently used connection ([Request.MaxIdle]).
func (c *conn) isHealthy() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = e == unix.EAGAIN
		return true
	})
	return err == nil && noData
}

// setUserTimeout sets TCP_USER_TIMEOUT, so that an upstream that stops acknowledging
// data breaks the connection within the timeout.
func setUserTimeout(c net.Conn, timeout time.Duration) error {
	tcp := c.(*net.TCPConn)
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
