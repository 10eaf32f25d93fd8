package network

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasUnread reports whether bytes have been received on a connection and not yet read. It returns false for
// connections that are not of the operating system.
func HasUnread(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n > 0
}

// IsQuiet reports whether an open connection has received nothing that is unread, not even its end. It
// sees only what the kernel has received, not what is in transit.
func IsQuiet(c net.Conn) bool {
	_, err := peek(c)
	return err == unix.EAGAIN
}

// peek looks at the next byte on a connection without reading it. It returns the number of bytes seen,
// 0 at the connection's end, or the error of the system call.
func peek(c net.Conn) (int, error) {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return 0, unix.ENOTSOCK
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) { // raw.Read would wait for a read in progress
		var b [1]byte
		n, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, peekErr
}
