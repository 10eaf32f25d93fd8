package scenario

import (
	"net"
	"sync"
)

const relayBuffer = 32 << 10

// relay forwards TCP connections to a target through a gate. While the gate is cut,
// connections stay open but no byte passes, as in a network partition.
type relay struct {
	listener net.Listener
	target   string
	// gateOf returns the gate for a connection by its remote address.
	gateOf func(net.Addr) *gate
	done   chan struct{}
	tasks  sync.WaitGroup
}

func newRelay(target string, gateOf func(net.Addr) *gate) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target, gateOf: gateOf, done: make(chan struct{})}
	r.tasks.Go(r.accept)
	return r, nil
}

func (r *relay) addr() string { return r.listener.Addr().String() }

func (r *relay) close() {
	close(r.done)
	_ = r.listener.Close()
	r.tasks.Wait()
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.tasks.Go(func() { r.forward(conn) })
	}
}

func (r *relay) forward(from net.Conn) {
	defer from.Close()
	g := r.gateOf(from.RemoteAddr())
	if !g.pass(r.done) {
		return
	}
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer to.Close()
	ended := make(chan struct{}, 2)
	r.tasks.Go(func() { r.copy(g, to, from); ended <- struct{}{} })
	r.tasks.Go(func() { r.copy(g, from, to); ended <- struct{}{} })
	select {
	case <-ended:
	case <-r.done:
	}
}

func (r *relay) copy(g *gate, to, from net.Conn) {
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 && g.pass(r.done) {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
