package host

import (
	"net"
	"net/netip"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

// port is a listener that can be closed and opened again on the same number.
//
// It guards against another process taking the number meanwhile, which shows
// as a stand-in that never comes back or as another's answers: a socket that
// is bound and never listens holds the number for as long as the port lives.
// A connection to it is refused.
type port struct {
	addr   netip.AddrPort
	holder int

	mu     sync.Mutex
	open   net.Listener
	closed bool
	// turned is closed and replaced when open or closed changes.
	turned chan struct{}
	conns  map[*trackedConn]struct{}
}

// newPort binds the address and begins to listen.
func newPort(addr string) (*port, error) {
	want, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, eris.Wrap(err, "address")
	}
	holder, bound, err := hold(want)
	if err != nil {
		return nil, err
	}
	p := &port{addr: bound, holder: holder, turned: make(chan struct{}), conns: make(map[*trackedConn]struct{})}
	if err := p.up(); err != nil {
		_ = syscall.Close(holder)
		return nil, err
	}
	return p, nil
}

// up listens again; nothing happens if it does already.
func (p *port) up() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open != nil || p.closed {
		return nil
	}
	l, err := net.Listen("tcp", p.addr.String())
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	p.open = l
	p.turn()
	return nil
}

// down refuses new connections and breaks the present ones.
func (p *port) down() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == nil {
		return
	}
	_ = p.open.Close()
	p.open = nil
	for c := range p.conns {
		_ = c.Conn.Close()
	}
	p.turn()
}

func (p *port) turn() {
	close(p.turned)
	p.turned = make(chan struct{})
}

// Accept returns the next connection. While the port is down it waits.
func (p *port) Accept() (net.Conn, error) {
	for {
		l, turned, closed := p.present()
		if closed {
			return nil, net.ErrClosed
		}
		if l == nil {
			<-turned
			continue
		}
		c, err := l.Accept()
		if err != nil {
			if p.still(l) {
				return nil, err
			}
			continue
		}
		if t := p.track(l, c); t != nil {
			return t, nil
		}
	}
}

func (p *port) present() (l net.Listener, turned <-chan struct{}, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.turned, p.closed
}

func (p *port) still(l net.Listener) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open == l
}

// track notes a connection, or closes it when the port has gone down since.
func (p *port) track(l net.Listener, c net.Conn) *trackedConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open != l {
		_ = c.Close()
		return nil
	}
	t := &trackedConn{Conn: c, port: p}
	p.conns[t] = struct{}{}
	return t
}

func (p *port) forget(t *trackedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, t)
}

// Close ends the port for good. Connections stay.
func (p *port) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	p.closed = true
	p.turn()
	if p.open != nil {
		_ = p.open.Close()
		p.open = nil
	}
	return syscall.Close(p.holder)
}

// Addr returns the bound address.
func (p *port) Addr() net.Addr { return net.TCPAddrFromAddrPort(p.addr) }

// trackedConn is a connection that its port can break.
type trackedConn struct {
	net.Conn
	port *port
}

// Close closes the connection and forgets it.
func (t *trackedConn) Close() error {
	t.port.forget(t)
	return t.Conn.Close()
}
