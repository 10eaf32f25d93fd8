package engine

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
)

// crash breaks all connections and loses all that a process loses.
func (s *Server) crash(by *generation) {
	event.StandinCrashed.Log(s.log, slog.String("id", s.settings.ID), slog.String("attempt", by.attempt))
	s.runs.counts.Crashes++
	for _, g := range s.running {
		g.end(s.clock.now(), genLost)
		s.runs.end(g.run, RunLost)
	}
	s.restartAt = restartTime(s.faults)
	s.host.Down()
	if err := s.boot(); err != nil {
		panic(err) // the same settings were good at the start
	}
}

func restartTime(f Faults) time.Time {
	return time.Now().Add(time.Duration(f.RestartMillis) * time.Millisecond)
}

// abortIfCrashed ends a request whose connection a crash has broken: a process
// that is no more takes no requests.
func (s *Server) abortIfCrashed() {
	if !s.restartAt.IsZero() {
		panic(http.ErrAbortHandler)
	}
}

// comeBack ends a crash when its time has passed.
func (s *Server) comeBack() {
	if s.restartAt.IsZero() || time.Now().Before(s.restartAt) {
		return
	}
	s.restartAt = time.Time{}
	event.StandinRestarted.Log(s.log, slog.String("id", s.settings.ID))
	s.openPort()
}

// openPort opens or closes the port as faults and crash demand.
func (s *Server) openPort() {
	if s.faults.Down || !s.restartAt.IsZero() {
		s.host.Down()
		return
	}
	if err := s.host.Up(); err != nil {
		event.StandinServeFail.Log(s.log, slog.String("id", s.settings.ID), slog.Any("error", err))
	}
}

func (s *Server) thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.Frozen = false
	s.clock.thaw()
	s.host.Thaw()
	s.nudge()
}
