package host

import (
	"net"
	"net/netip"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

// port is a listener that can be closed and opened again on the same port number.
//
// A second socket, which is bound and never listens, reserves the number until the port
// is closed for good. Otherwise another process could bind the number meanwhile, and the
// stand-in could not listen again, or the other process would answer for it. Connections
// to the bound socket are refused.
type port struct {
	addr       netip.AddrPort
	reservedFD int

	mu       sync.Mutex
	listener net.Listener
	closed   bool
	// changed is closed and replaced when listener or closed changes.
	changed chan struct{}
	conns   map[*trackedConn]struct{}
}

// newPort binds an address, an IP and port, and starts to listen.
func newPort(addr string) (*port, error) {
	want, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, eris.Wrapf(err, "address %q", addr)
	}
	holder, bound, err := reservePort(want)
	if err != nil {
		return nil, err
	}
	p := &port{addr: bound, reservedFD: holder, changed: make(chan struct{}), conns: make(map[*trackedConn]struct{})}
	if err := p.up(); err != nil {
		_ = syscall.Close(holder)
		return nil, err
	}
	return p, nil
}

// up listens again. It does nothing if the port is listening or closed.
func (p *port) up() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.closed {
		return nil
	}
	l, err := net.Listen("tcp", p.addr.String())
	if err != nil {
		return eris.Wrapf(err, "listen on %s", p.addr)
	}
	p.listener = l
	p.notifyChange()
	return nil
}

// down stops listening, so that connections are refused, and closes the open ones.
func (p *port) down() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return
	}
	_ = p.listener.Close()
	p.listener = nil
	for c := range p.conns {
		_ = c.Conn.Close()
	}
	p.notifyChange()
}

// notifyChange wakes a waiting Accept.
func (p *port) notifyChange() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Accept returns the next connection. While the port is down, it blocks. It returns
// [net.ErrClosed] after Close.
func (p *port) Accept() (net.Conn, error) {
	for {
		l, turned, closed := p.current()
		if closed {
			return nil, net.ErrClosed
		}
		if l == nil {
			<-turned
			continue
		}
		c, err := l.Accept()
		if err != nil {
			if p.isCurrent(l) {
				return nil, err
			}
			continue
		}
		if t := p.track(l, c); t != nil {
			return t, nil
		}
	}
}

func (p *port) current() (l net.Listener, turned <-chan struct{}, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener, p.changed, p.closed
}

// isCurrent reports whether l is still the port's listener.
func (p *port) isCurrent(l net.Listener) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener == l
}

// track records a connection that l accepted. It closes the connection and returns nil
// if the port has gone down since.
func (p *port) track(l net.Listener, c net.Conn) *trackedConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != l {
		_ = c.Close()
		return nil
	}
	t := &trackedConn{Conn: c, port: p}
	p.conns[t] = struct{}{}
	return t
}

func (p *port) untrack(t *trackedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, t)
}

// Close stops listening for good and releases the port number. Open connections remain.
func (p *port) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	p.closed = true
	p.notifyChange()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	return syscall.Close(p.reservedFD)
}

// Addr returns the bound address.
func (p *port) Addr() net.Addr { return net.TCPAddrFromAddrPort(p.addr) }

// trackedConn is a connection that its port closes when it goes down.
type trackedConn struct {
	net.Conn
	port *port
}

// Close closes the connection and removes it from its port.
func (t *trackedConn) Close() error {
	t.port.untrack(t)
	return t.Conn.Close()
}
