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

// loopback is any free port of this machine.
const loopback = "127.0.0.1:0"

// Server reads requests from connections without net/http's server.
type Server struct {
	listener net.Listener
	handler  Handler
	duties   conc.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// Handler does with a request what it likes. Each call has the connection to
// itself until it returns.
type Handler interface {
	// Head is called when a request's header has come, and says whether its
	// body is to be read.
	Head(conn net.Conn, req *http.Request) bool
	// Answer is called when a request has come whole; an error closes the
	// connection.
	Answer(conn net.Conn, req *http.Request, body []byte) error
}

// ErrClose is an answer's word that the connection is to be closed.
var ErrClose = eris.New("the connection is closed on purpose")

// Listen starts a server on a free port of loopback.
func Listen(h Handler) (*Server, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	s := &Server{listener: listener, handler: h}
	s.duties.Go(s.accept)
	return s, nil
}

// Addr is the host and port that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Conns counts the connections that were ever accepted.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// CloseConns closes every connection; new ones are accepted.
func (s *Server) CloseConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

// Close ends the server and waits for its handler's calls.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.CloseConns()
	s.duties.Wait()
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
		s.duties.Go(func() { s.serve(conn) })
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
