package sim

import (
	"errors"
	"net"
	"sync"
)

// listener queues the connections opened to one port until they are accepted.
type listener struct {
	host    *Host
	addr    *net.TCPAddr
	changed *sync.Cond
	pending []*conn
	closed  bool
}

// enqueue adds a connection to accept. The caller holds the network's lock.
func (l *listener) enqueue(c *conn) {
	l.pending = append(l.pending, c)
	l.changed.Signal()
}

// Accept returns the next connection. It blocks until there is one or the listener is
// closed; then it fails with net.ErrClosed.
func (l *listener) Accept() (net.Conn, error) {
	l.host.net.mu.Lock()
	defer l.host.net.mu.Unlock()
	for len(l.pending) == 0 && !l.closed {
		l.changed.Wait()
	}
	if l.closed {
		return nil, &net.OpError{Op: "accept", Net: "tcp4", Addr: l.addr, Err: net.ErrClosed}
	}
	c := l.pending[0]
	l.pending = l.pending[1:]
	return c, nil
}

// Close frees the port and closes the connections that were not accepted. A second
// call fails.
func (l *listener) Close() error {
	l.host.net.mu.Lock()
	defer l.host.net.mu.Unlock()
	if l.closed {
		return errors.New("listener is closed already")
	}
	l.close()
	return nil
}

// close frees the port and closes the connections that were not accepted. The caller holds the
// network's lock.
func (l *listener) close() {
	l.closed = true
	delete(l.host.listeners, l.addr.Port)
	for _, c := range l.pending {
		c.close()
	}
	l.changed.Broadcast()
}

// Addr returns the address that the listener is bound to.
func (l *listener) Addr() net.Addr { return l.addr }
