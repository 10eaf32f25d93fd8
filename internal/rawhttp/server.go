package rawhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// loopback selects a free port of the loopback interface.
const loopback = "127.0.0.1:0"

// Server accepts connections and reads requests without net/http's server.
type Server struct {
	listener   net.Listener
	handler    Handler
	goroutines conc.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// Handler serves requests by writing to the connection itself. Each call has
// exclusive use of the connection until it returns.
type Handler interface {
	// Head is called when a request's header has been read. It returns whether to
	// read the body; false closes the connection.
	Head(conn net.Conn, req *http.Request) bool
	// Answer is called when the whole request has been read. An error closes the
	// connection.
	Answer(conn net.Conn, req *http.Request, body []byte) error
}

// ErrClose is returned by [Handler.Answer] to close the connection deliberately.
var ErrClose = eris.New("the connection is closed on purpose")

// Listen starts a server on a free port of loopback.
func Listen(h Handler) (*Server, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	s := &Server{listener: listener, handler: h}
	s.goroutines.Go(s.accept)
	return s, nil
}

// Addr is the host and port that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Conns returns how many connections have been accepted since the start.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// CloseConns closes all connections; the server goes on accepting new ones.
func (s *Server) CloseConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

// Close stops the server and waits for running calls of the handler.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.CloseConns()
	s.goroutines.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		s.goroutines.Go(func() { s.serve(conn) })
	}
}

func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil || !s.handler.Head(conn, req) {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || s.handler.Answer(conn, req, body) != nil {
			return
		}
	}
}
