package network

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// ProbedDialer connects from this host with socket options that break a connection whose
// other end stops acknowledging data or keep-alive probes.
type ProbedDialer struct {
	dialer net.Dialer
	silent time.Duration
}

// probeInterval is the interval of TCP keep-alive probes.
const probeInterval = time.Second

// NewProbedDialer returns a dialer. connect bounds the opening of a connection, silent is how
// long data or probes may stay unacknowledged.
func NewProbedDialer(connect, silent time.Duration) *ProbedDialer {
	return &ProbedDialer{silent: silent, dialer: net.Dialer{Timeout: connect, KeepAliveConfig: keepAlive(silent)}}
}

// Dial connects to a host and port. ctx bounds the connection set-up only.
func (d *ProbedDialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := d.dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	if err := setUserTimeout(c.(*net.TCPConn), d.silent); err != nil {
		_ = c.Close() // the error of the socket option is returned
		return nil, err
	}
	return c, nil
}

// DetectSilence sets the socket options of a [ProbedDialer] on a connection that was opened
// otherwise. It does nothing to connections that are not over TCP.
func DetectSilence(c net.Conn, silent time.Duration) error {
	if secure, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = secure.NetConn() // below TLS
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetKeepAliveConfig(keepAlive(silent)); err != nil {
		return err
	}
	return setUserTimeout(tcp, silent)
}

func keepAlive(silent time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: max(int(silent/probeInterval), 1)}
}

// setUserTimeout sets TCP_USER_TIMEOUT. On Linux it also decides when keep-alive probes give
// up, regardless of their count.
func setUserTimeout(c *net.TCPConn, timeout time.Duration) error {
	raw, err := c.SyscallConn()
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
