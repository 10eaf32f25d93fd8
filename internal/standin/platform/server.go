package platform

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

const (
	// headerTimeout bounds the time for reading a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds the time between requests on a connection.
	idleTimeout = 2 * time.Minute
)

// Server serves the stand-in platform on its interface port and its fault port.
type Server struct {
	settings Settings
	log      *slog.Logger
	state    *memory.Platform

	// stop cancels the context of every request, so that calls delayed by a fault do
	// not delay Close.
	stop    context.CancelFunc
	base    context.Context
	main    endpoint
	fault   endpoint
	serving conc.WaitGroup
}

// endpoint is one listening port and its HTTP server.
type endpoint struct {
	listener net.Listener
	http     *http.Server
}

// New returns a server that is not yet listening, or an error that lists the invalid
// settings.
func New(s Settings, log *slog.Logger) (*Server, error) {
	if err := s.Validate(); err != nil {
		return nil, eris.Wrap(err, "stand-in platform")
	}
	base, stop := context.WithCancel(context.Background())
	return &Server{
		settings: s,
		log:      log,
		state:    memory.New(memory.WithSettings(s.Settings)),
		base:     base,
		stop:     stop,
	}, nil
}

// State returns the platform behind the server, for tests in the same process.
func (s *Server) State() *memory.Platform { return s.state }

// Start listens on the configured ports and serves until Close. It returns an error
// if a port cannot be bound.
func (s *Server) Start() error {
	if err := s.listen(&s.main, s.settings.Listen, s.routes()); err != nil {
		return err
	}
	if s.settings.FaultListen != "" {
		if err := s.listen(&s.fault, s.settings.FaultListen, s.faultRoutes()); err != nil {
			_ = s.main.listener.Close()
			return err
		}
	}
	s.serve(&s.main)
	s.serve(&s.fault)
	event.PlatformServing.Log(s.log,
		slog.String("addr", s.Addr()), slog.String("fault_addr", s.FaultAddr()))
	return nil
}

func (s *Server) listen(l *endpoint, addr string, handler http.Handler) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "stand-in platform: listen on %s", addr)
	}
	l.listener = listener
	l.http = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return s.base },
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	return nil
}

func (s *Server) serve(l *endpoint) {
	if l.http == nil {
		return
	}
	s.serving.Go(func() {
		err := l.http.Serve(l.listener)
		if !errors.Is(err, http.ErrServerClosed) {
			event.PlatformServeFailed.Log(s.log, slog.Any("error", err))
		}
	})
}

// Addr returns the host and port of the platform's interface, or "" before Start.
func (s *Server) Addr() string { return s.main.addr() }

// FaultAddr returns the host and port of the fault port, or "" without one.
func (s *Server) FaultAddr() string { return s.fault.addr() }

func (l *endpoint) addr() string {
	if l.listener == nil {
		return ""
	}
	return l.listener.Addr().String()
}

// Close stops listening and cancels the contexts of running calls. It waits for the
// calls until ctx is done, and then closes their connections.
func (s *Server) Close(ctx context.Context) error {
	s.stop()
	err := errors.Join(s.main.close(ctx), s.fault.close(ctx))
	s.serving.Wait()
	event.PlatformClosed.Log(s.log)
	return err
}

func (l *endpoint) close(ctx context.Context) error {
	if l.http == nil {
		return nil
	}
	if err := l.http.Shutdown(ctx); err != nil {
		return errors.Join(err, l.http.Close())
	}
	return nil
}
