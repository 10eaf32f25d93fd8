package engine

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/event"
)

// Server is one stand-in engine.
type Server struct {
	settings Settings
	log      *slog.Logger
	http     *http.Server
	listener net.Listener
	fault    net.Listener
	tasks    conc.WaitGroup
	// stop ends generations and idle readers when the server closes.
	stop context.Context
	end  context.CancelFunc

	mu       sync.Mutex
	streams  map[string]*generation
	versions []string
	role     string
	fence    uint64
	running  int
	kv       map[uint64][]byte
}

// New checks the settings and returns an engine that is not yet listening.
func New(s Settings, log *slog.Logger) (*Server, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	stop, end := context.WithCancel(context.Background())
	srv := &Server{
		settings: s,
		log:      log,
		stop:     stop,
		end:      end,
		streams:  make(map[string]*generation),
		versions: append([]string(nil), s.Versions...),
		kv:       make(map[uint64][]byte),
	}
	srv.http = &http.Server{Handler: srv.routes()}
	return srv, nil
}

// Start listens and serves until Close.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.settings.Listen)
	if err != nil {
		return eris.Wrap(err, "engine: listen")
	}
	s.listener = l
	s.tasks.Go(func() { s.serve(s.http, l) })
	event.StandinListening.Log(s.log, slog.String("id", s.settings.ID), slog.String("addr", l.Addr().String()))
	return nil
}

func (s *Server) serve(h *http.Server, l net.Listener) {
	if err := h.Serve(l); !eris.Is(err, http.ErrServerClosed) {
		event.StandinServeFail.Log(s.log, slog.Any("error", err))
	}
}

// Addr returns the IP and port for requests.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// FaultAddr returns the IP and port of the fault port, or "".
func (s *Server) FaultAddr() string {
	if s.fault == nil {
		return ""
	}
	return s.fault.Addr().String()
}

// Close ends all streams and releases the listeners. Streams that run are cut
// once ctx is done.
func (s *Server) Close(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	s.end()
	if err != nil {
		err = s.http.Close()
	}
	s.tasks.Wait()
	event.StandinClosed.Log(s.log, slog.String("id", s.settings.ID))
	return err
}
