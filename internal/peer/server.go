package peer

import (
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/duty"
	"github.com/hickorybank/hickorybank/internal/intake"
	"github.com/hickorybank/hickorybank/internal/relay"
)

// Server serves the calls of peers over net/rpc.
type Server struct {
	rpc       *rpc.Server
	tlsConfig *tls.Config
	listener  net.Listener
	// carrier serves requests for connections to upstreams; nil for none.
	carrier *relay.Carrier
	// maxConnections bounds the connections of peers, messages their unfinished messages; 0 and nil
	// for no bound. observer may be nil.
	maxConnections int
	messages       *intake.Account
	observer       intake.Observer

	tasks duty.Group

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer returns a server without methods that serves unencrypted TCP.
func NewServer() *Server { return NewSecureServer(nil) }

// NewSecureServer returns a server without methods that serves TLS over TCP, or unencrypted
// TCP if tlsConfig is nil.
func NewSecureServer(tlsConfig *tls.Config) *Server {
	return &Server{rpc: rpc.NewServer(), tlsConfig: tlsConfig, conns: map[net.Conn]struct{}{}}
}

// Register makes the methods of receiver callable under a service name, by the rules of
// net/rpc. It returns an error if receiver has no suitable methods or the name is taken.
func (s *Server) Register(name string, receiver any) error {
	return eris.Wrap(s.rpc.RegisterName(name, receiver), "register "+name)
}

// Listen binds the address. It is separate from [Server.Serve] so that [Server.Addr] is known
// before calls are served.
func (s *Server) Listen(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	listener = intake.NewListener(listener, intake.Settings{Name: "peer", MaxConnections: s.maxConnections, Observer: s.observer})
	if s.tlsConfig != nil {
		listener = tls.NewListener(listener, s.tlsConfig)
	}
	if s.carrier != nil {
		listener = relay.Split(listener, s.carrier)
	}
	listener = intake.NewGobListener(listener, "peer", s.messages, s.observer)
	s.listener = listener
	return nil
}

// Bound sets bounds on the connections and the unfinished messages of peers. It must be called before
// [Server.Listen].
func (s *Server) Bound(connections int, messages *intake.Account, o intake.Observer) {
	s.maxConnections, s.messages, s.observer = connections, messages, o
}

// Carry lets a carrier serve the peers' requests for connections to upstreams. It must be called
// before [Server.Listen].
func (s *Server) Carry(c *relay.Carrier) { s.carrier = c }

// Serve starts accepting connections and returns. All methods must be registered before.
func (s *Server) Serve() { s.tasks.Go(s.accept) }

// Start calls [Server.Listen] and [Server.Serve].
func (s *Server) Start(addr string) error {
	if err := s.Listen(addr); err != nil {
		return err
	}
	s.Serve()
	return nil
}

// Addr returns the address that the server listens on. It must be called after
// [Server.Listen].
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
		s.tasks.Go(func() { s.serve(conn) })
	}
}

func (s *Server) serve(conn net.Conn) {
	s.rpc.ServeConn(conn)
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// track records a connection to be closed by Close; it returns false after Close.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

// Close stops listening, closes all connections and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	_ = s.listener.Close()
	s.tasks.Wait()
}
