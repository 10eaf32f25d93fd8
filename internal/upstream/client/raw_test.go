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

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// rawServer is a server without net/http's server: it hands each request that
// it has read in full, with its connection, to answer. answer returns false to
// close the connection.
type rawServer struct {
	listener net.Listener
	answer   func(c net.Conn, key string, nth int) bool
	tasks    conc.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
	seen  []string
}

func newRawServer(t *testing.T, answer func(c net.Conn, key string, nth int) bool) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener: l, answer: answer}
	s.tasks.Go(s.accept)
	t.Cleanup(s.close)
	return s
}

func (s *rawServer) addr() string { return s.listener.Addr().String() }

func (s *rawServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		s.tasks.Go(func() { s.serve(c) })
	}
}

func (s *rawServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		key := req.Header.Get("Idempotency-Key")
		nth := s.note(key)
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !s.answer(c, key, nth) {
			return
		}
	}
}

// note records that the header of a request has come.
func (s *rawServer) note(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, key)
	return len(s.seen)
}

// times counts the requests that have come, in part or whole.
func (s *rawServer) times(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, k := range s.seen {
		if k == key {
			n++
		}
	}
	return n
}

func (s *rawServer) connCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *rawServer) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

func (s *rawServer) close() {
	_ = s.listener.Close()
	s.closeConns()
	s.tasks.Wait()
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
