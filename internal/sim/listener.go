package sim

import (
	"errors"
	"net"
	"sync"
)

// listener takes the connections that are opened to a port.
type listener struct {
	host    *Host
	addr    *net.TCPAddr
	arrived *sync.Cond
	waiting []*conn
	closed  bool
}

// take takes a connection; the caller holds the lock.
func (l *listener) take(c *conn) {
	l.waiting = append(l.waiting, c)
	l.arrived.Signal()
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	l.host.net.mu.Lock()
	defer l.host.net.mu.Unlock()
	for len(l.waiting) == 0 && !l.closed {
		l.arrived.Wait()
	}
	if l.closed {
		return nil, &net.OpError{Op: "accept", Net: "tcp4", Addr: l.addr, Err: net.ErrClosed}
	}
	c := l.waiting[0]
	l.waiting = l.waiting[1:]
	return c, nil
}

// Close frees the port; connections that nobody accepted end.
func (l *listener) Close() error {
	l.host.net.mu.Lock()
	defer l.host.net.mu.Unlock()
	if l.closed {
		return errors.New("listener is closed already")
	}
	l.closed = true
	delete(l.host.listeners, l.addr.Port)
	for _, c := range l.waiting {
		c.close()
	}
	l.arrived.Broadcast()
	return nil
}

// Addr is the address that the listener has taken.
func (l *listener) Addr() net.Addr { return l.addr }
