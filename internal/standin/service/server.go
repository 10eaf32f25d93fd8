package service

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

const (
	maxBody = 16 << 20
	maxEcho = 256
)

// Server is one stand-in service.
type Server struct {
	settings Settings
	log      *slog.Logger
	http     *http.Server
	listener net.Listener
	fault    net.Listener
	tasks    conc.WaitGroup

	mu      sync.Mutex
	runs    []Run
	counts  map[Run]int
	running int
}

// New checks the settings and returns a service that is not yet listening.
func New(s Settings, log *slog.Logger) (*Server, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	srv := &Server{settings: s, log: log, counts: make(map[Run]int)}
	srv.http = &http.Server{Handler: http.HandlerFunc(srv.handle)}
	return srv, nil
}

// Start listens and serves until Close.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.settings.Listen)
	if err != nil {
		return eris.Wrap(err, "service: listen")
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

// Addr returns the IP and port for calls.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// FaultAddr returns the IP and port of the fault port, or "".
func (s *Server) FaultAddr() string {
	if s.fault == nil {
		return ""
	}
	return s.fault.Addr().String()
}

// Close waits for running calls until ctx is done, then cuts them.
func (s *Server) Close(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = s.http.Close()
	}
	s.tasks.Wait()
	event.StandinClosed.Log(s.log, slog.String("id", s.settings.ID))
	return err
}

// Runs returns every execution so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/load" {
		s.load(w)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil || !s.known(r.Method, r.URL.Path) {
		w.Header().Set("X-Not-Run", "1")
		http.Error(w, "call is unknown", http.StatusNotFound)
		return
	}
	n, count := s.begin(Run{Method: r.Method, Path: r.URL.Path, Key: r.Header.Get("Idempotency-Key")})
	time.Sleep(s.settings.Latency)
	s.finish(n)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{
		Service: s.settings.Service,
		Path:    r.URL.Path,
		Key:     r.Header.Get("Idempotency-Key"),
		Count:   count,
		Echo:    string(body[:min(len(body), maxEcho)]),
	})
}

func (s *Server) known(method, path string) bool {
	if len(s.settings.Calls) == 0 {
		return true
	}
	for _, c := range s.settings.Calls {
		if c.Method == method && strings.HasPrefix(path, c.Path) {
			return true
		}
	}
	return false
}

func (s *Server) begin(run Run) (index, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run)
	s.counts[run]++
	s.running++
	return len(s.runs) - 1, s.counts[run]
}

func (s *Server) finish(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[index].Completed = true
	s.running--
}

func (s *Server) load(w http.ResponseWriter) {
	s.mu.Lock()
	report := upstream.LoadReport{Running: s.running, Limit: s.settings.Limit}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}
