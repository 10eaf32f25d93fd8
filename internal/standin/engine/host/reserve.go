package host

import (
	"net/netip"
	"os"
	"syscall"

	"github.com/rotisserie/eris"
)

// reservePort binds a socket that never listens. It returns the socket and the bound
// address.
func reservePort(addr netip.AddrPort) (fd int, bound netip.AddrPort, err error) {
	fd, err = syscall.Socket(family(addr), syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, bound, eris.Wrapf(os.NewSyscallError("socket", err), "reserve port %s", addr)
	}
	bound, err = bind(fd, addr)
	if err != nil {
		_ = syscall.Close(fd)
		return 0, bound, eris.Wrapf(err, "reserve port %s", addr)
	}
	return fd, bound, nil
}

func family(addr netip.AddrPort) int {
	if addr.Addr().Is4() {
		return syscall.AF_INET
	}
	return syscall.AF_INET6
}

func bind(fd int, addr netip.AddrPort) (netip.AddrPort, error) {
	// The listener binds the same address, which requires the option on both sockets.
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return addr, os.NewSyscallError("setsockopt", err)
	}
	if err := syscall.Bind(fd, sockaddr(addr)); err != nil {
		return addr, os.NewSyscallError("bind", err)
	}
	got, err := syscall.Getsockname(fd)
	if err != nil {
		return addr, os.NewSyscallError("getsockname", err)
	}
	return netip.AddrPortFrom(addr.Addr(), portOf(got)), nil
}

func sockaddr(addr netip.AddrPort) syscall.Sockaddr {
	if addr.Addr().Is4() {
		return &syscall.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}
	}
	return &syscall.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
}

func portOf(sa syscall.Sockaddr) uint16 {
	switch sa := sa.(type) {
	case *syscall.SockaddrInet4:
		return uint16(sa.Port)
	case *syscall.SockaddrInet6:
		return uint16(sa.Port)
	}
	return 0
}
