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

// Bounds of connections.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

// Server is the stand-in platform on its ports.
type Server struct {
	settings Settings
	log      *slog.Logger
	state    *memory.Platform

	// stop ends the context of every request, so that calls that a fault
	// holds back do not hold up Close.
	stop    context.CancelFunc
	base    context.Context
	main    listening
	fault   listening
	serving conc.WaitGroup
}

// listening is one port and what serves it.
type listening struct {
	listener net.Listener
	http     *http.Server
}

// New returns a server that does not listen yet.
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

// State returns the platform's state, for tests in the same process.
func (s *Server) State() *memory.Platform { return s.state }

// Start listens and serves until Close.
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

func (s *Server) listen(l *listening, addr string, handler http.Handler) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrap(err, "stand-in platform: listen")
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

func (s *Server) serve(l *listening) {
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

// Addr is the host and port of the platform's interface, once started.
func (s *Server) Addr() string { return s.main.addr() }

// FaultAddr is the host and port of the fault interface; empty without one.
func (s *Server) FaultAddr() string { return s.fault.addr() }

func (l *listening) addr() string {
	if l.listener == nil {
		return ""
	}
	return l.listener.Addr().String()
}

// Close stops listening, lets running calls end until the context is done, and
// then breaks them off.
func (s *Server) Close(ctx context.Context) error {
	s.stop()
	err := errors.Join(s.main.close(ctx), s.fault.close(ctx))
	s.serving.Wait()
	event.PlatformClosed.Log(s.log)
	return err
}

func (l *listening) close(ctx context.Context) error {
	if l.http == nil {
		return nil
	}
	if err := l.http.Shutdown(ctx); err != nil {
		return errors.Join(err, l.http.Close())
	}
	return nil
}
