package service

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/standin/engine/host"
	"github.com/hickorybank/hickorybank/internal/standin/engine/model"
)

// Server is one stand-in service.
type Server struct {
	settings Settings
	log      *slog.Logger
	host     *host.Host
	tasks    conc.WaitGroup
	began    time.Time

	mu      sync.Mutex
	faults  Faults
	runs    runLog
	history model.LoadHistory
	// epoch tells the service's lives apart.
	epoch uint64
	// crashed says that a crash is not over.
	crashed bool
	// restart is sent to when a crash's length has changed.
	restart chan struct{}
}

// New checks the settings and returns a service that is not yet listening.
func New(s Settings, log *slog.Logger) (*Server, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &Server{
		settings: s,
		log:      log,
		host:     host.New(s.ID, log),
		began:    time.Now(),
		epoch:    host.NewEpoch(),
		faults:   newFaults(s.LoadLag),
		runs:     newRunLog(),
		history:  model.NewLoadHistory(s.LoadLag),
		restart:  make(chan struct{}, 1),
	}, nil
}

// Start listens and serves until Close.
func (s *Server) Start() error {
	return s.host.Start(s.settings.Listen, s.routes(), s.settings.FaultListen, s.faultRoutes())
}

// Addr returns the IP and port for calls.
func (s *Server) Addr() string { return s.host.Addr() }

// FaultAddr returns the IP and port of the fault port, or "".
func (s *Server) FaultAddr() string { return s.host.FaultAddr() }

// Close waits for running calls until ctx is done, then cuts them.
func (s *Server) Close(ctx context.Context) error {
	err := s.host.Close(ctx)
	s.tasks.Wait()
	return err
}

func (s *Server) now() time.Duration { return time.Since(s.began) }

func (s *Server) note() { s.history.Note(s.now(), len(s.runs.open), 0) }

// crash breaks all connections and loses all running calls.
func (s *Server) crash() {
	event.StandinCrashed.Log(s.log, slog.String("id", s.settings.ID))
	s.runs.total.Crashes++
	s.runs.loseAll()
	s.note()
	s.host.Down()
	if s.crashed {
		return
	}
	s.crashed = true
	s.tasks.Go(s.comeBack)
}

// comeBack ends a crash when its time has passed.
func (s *Server) comeBack() {
	for {
		s.mu.Lock()
		wait := millis(s.faults.RestartMillis)
		s.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
			s.endCrash()
			return
		case <-s.restart:
			timer.Stop()
		case <-s.host.Cut():
			timer.Stop()
			return
		}
	}
}

func (s *Server) endCrash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed = false
	s.epoch = host.NewEpoch()
	event.StandinRestarted.Log(s.log, slog.String("id", s.settings.ID))
	s.openPort()
}

// openPort opens or closes the port as faults and crash demand.
func (s *Server) openPort() {
	if s.faults.Down || s.crashed {
		s.host.Down()
		return
	}
	if err := s.host.Up(); err != nil {
		event.StandinServeFail.Log(s.log, slog.String("id", s.settings.ID), slog.Any("error", err))
	}
}
