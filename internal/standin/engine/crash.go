package engine

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
)

// crash closes all connections and discards the state that a process loses when it
// crashes. by is the generation that causes the crash.
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
		panic(err) // New succeeded with the same settings
	}
}

// restartTime returns the time at which an engine that crashes now restarts.
func restartTime(f Faults) time.Time {
	return time.Now().Add(time.Duration(f.RestartMillis) * time.Millisecond)
}

// abortIfCrashed aborts a request that is being handled while the engine is crashed. A
// crashed process must not accept requests.
func (s *Server) abortIfCrashed() {
	if !s.restartAt.IsZero() {
		panic(http.ErrAbortHandler)
	}
}

// restartIfDue restarts a crashed engine once its restart time has passed.
func (s *Server) restartIfDue() {
	if s.restartAt.IsZero() || time.Now().Before(s.restartAt) {
		return
	}
	s.restartAt = time.Time{}
	event.StandinRestarted.Log(s.log, slog.String("id", s.settings.ID))
	s.updatePort()
}

// updatePort closes the port while the engine is down or crashed, and opens it
// otherwise.
func (s *Server) updatePort() {
	if s.faults.Down || !s.restartAt.IsZero() {
		s.host.Down()
		return
	}
	if err := s.host.Up(); err != nil {
		event.StandinServeFail.Log(s.log, slog.String("id", s.settings.ID), slog.Any("error", err))
	}
}

// thaw ends the frozen fault.
func (s *Server) thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.Frozen = false
	s.clock.thaw()
	s.host.Thaw()
	s.wakeDriver()
}
