package exchange

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is one connection to an upstream. One exchange at a time uses it.
type conn struct {
	net.Conn
	addr      string
	in        *bufio.Reader
	idleSince time.Time
	idleUntil time.Time
	reused    bool
}

// alive tells whether an idle connection may carry another request.
//
// It guards against sending on a connection that the upstream has closed, or
// on which it has sent bytes that belong to no request: both show as something
// to read while nothing was asked. What the kernel has already received is
// seen; what is still on its way is not, so an unsafe request also asks for a
// connection that was used recently.
func (c *conn) alive() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = e == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// tune sets the time-outs that notice an upstream which fell silent.
func tune(c net.Conn, silent time.Duration) error {
	tcp := c.(*net.TCPConn)
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silent.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
