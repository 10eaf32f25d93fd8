package peer

import (
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/duty"
)

// Server answers peers.
type Server struct {
	rpc      *rpc.Server
	secure   *tls.Config
	listener net.Listener
	duties   duty.Group

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	done  bool
}

// NewServer returns a server without methods that speaks in the clear.
func NewServer() *Server { return NewSecureServer(nil) }

// NewSecureServer returns a server without methods, which speaks TLS when
// secure is not nil.
func NewSecureServer(secure *tls.Config) *Server {
	return &Server{rpc: rpc.NewServer(), secure: secure, conns: map[net.Conn]struct{}{}}
}

// Register offers the methods of receiver under a name, in net/rpc's form.
func (s *Server) Register(name string, receiver any) error {
	return eris.Wrap(s.rpc.RegisterName(name, receiver), "register "+name)
}

// Listen takes the address, so that it is known before anything is served.
func (s *Server) Listen(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	if s.secure != nil {
		listener = tls.NewListener(listener, s.secure)
	}
	s.listener = listener
	return nil
}

// Serve begins to answer. All methods must be registered before.
func (s *Server) Serve() { s.duties.Go(s.accept) }

// Start listens and serves.
func (s *Server) Start(addr string) error {
	if err := s.Listen(addr); err != nil {
		return err
	}
	s.Serve()
	return nil
}

// Addr is the address that peers reach the server at.
func (s *Server) Addr() string { return s.listener.Addr().String() }

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if !s.track(conn) {
			_ = conn.Close()
			return
		}
		s.duties.Go(func() { s.serve(conn) })
	}
}

func (s *Server) serve(conn net.Conn) {
	s.rpc.ServeConn(conn)
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

// Close stops listening, cuts the connections and waits for their ends.
func (s *Server) Close() {
	s.mu.Lock()
	s.done = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	_ = s.listener.Close()
	s.duties.Wait()
}
