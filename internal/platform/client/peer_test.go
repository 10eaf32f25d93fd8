package client

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/sourcegraph/conc"
)

// peer is a server of raw connections. It reads each request whole, counts it,
// and then does what the test says.
type peer struct {
	listener net.Listener
	serving  conc.WaitGroup

	mu       sync.Mutex
	conns    []net.Conn
	requests int
}

// reply writes the answer to the n-th request; false closes the connection.
type reply func(n int, conn net.Conn) bool

func newPeer(t *testing.T, answer reply) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{listener: listener}
	p.serving.Go(func() { p.accept(answer) })
	t.Cleanup(p.close)
	return p
}

func (p *peer) url() string { return "http://" + p.listener.Addr().String() }

func (p *peer) accept(answer reply) {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns = append(p.conns, conn)
		p.mu.Unlock()
		p.serving.Go(func() { p.serve(conn, answer) })
	}
}

func (p *peer) serve(conn net.Conn, answer reply) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !answer(p.count(), conn) {
			return
		}
	}
}

func (p *peer) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests++
	return p.requests
}

// seen returns how many requests have arrived whole.
func (p *peer) seen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requests
}

func (p *peer) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
	p.mu.Unlock()
	p.serving.Wait()
}
