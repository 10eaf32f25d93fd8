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

// Server is one stand-in service with its request port and its fault port.
type Server struct {
	settings  Settings
	log       *slog.Logger
	host      *host.Host
	tasks     conc.WaitGroup
	startedAt time.Time

	mu      sync.Mutex
	faults  Faults
	runs    runLog
	history model.LoadHistory
	// epoch identifies the time between two restarts in load reports.
	epoch uint64
	// crashed is true from a crash to the restart.
	crashed bool
	// restartChanged receives a value when the restart time changes during a crash.
	restartChanged chan struct{}
}

// New returns a service that is not yet listening, or an error for invalid settings.
func New(s Settings, log *slog.Logger) (*Server, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &Server{
		settings:       s,
		log:            log,
		host:           host.New(s.ID, log),
		startedAt:      time.Now(),
		epoch:          host.NewEpoch(),
		faults:         newFaults(s.LoadLag),
		runs:           newRunLog(),
		history:        model.NewLoadHistory(s.LoadLag),
		restartChanged: make(chan struct{}, 1),
	}, nil
}

// Start listens and serves until Close. It returns an error if a port cannot be bound.
func (s *Server) Start() error {
	return s.host.Start(s.settings.Listen, s.routes(), s.settings.FaultListen, s.faultRoutes())
}

// Addr returns the IP and port for calls.
func (s *Server) Addr() string { return s.host.Addr() }

// FaultAddr returns the IP and port of the fault port, or "" without one.
func (s *Server) FaultAddr() string { return s.host.FaultAddr() }

// Close waits for running calls until ctx is done, then cuts them. It returns an error if
// calls were cut.
func (s *Server) Close(ctx context.Context) error {
	err := s.host.Close(ctx)
	s.tasks.Wait()
	return err
}

func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

func (s *Server) recordLoad() { s.history.Record(s.now(), len(s.runs.open), 0) }

// crash closes all connections and ends all running calls as lost.
func (s *Server) crash() {
	event.StandinCrashed.Log(s.log, slog.String("id", s.settings.ID))
	s.runs.total.Crashes++
	s.runs.loseAll()
	s.recordLoad()
	s.host.Down()
	if s.crashed {
		return
	}
	s.crashed = true
	s.tasks.Go(s.restartAfterCrash)
}

// restartAfterCrash restarts the service once the restart time has passed. A change of
// the restart time starts the wait again.
func (s *Server) restartAfterCrash() {
	for {
		s.mu.Lock()
		wait := millis(s.faults.RestartMillis)
		s.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
			s.endCrash()
			return
		case <-s.restartChanged:
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
	s.updatePort()
}

// updatePort closes the port while the service is down or crashed, and opens it
// otherwise.
func (s *Server) updatePort() {
	if s.faults.Down || s.crashed {
		s.host.Down()
		return
	}
	if err := s.host.Up(); err != nil {
		event.StandinServeFail.Log(s.log, slog.String("id", s.settings.ID), slog.Any("error", err))
	}
}
