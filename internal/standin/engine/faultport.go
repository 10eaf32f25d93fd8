package engine

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/standin/engine/host"
)

func (s *Server) faultRoutes() http.Handler {
	return host.FaultPort{
		Faults: func() any { return s.Faults() },
		Change: func(body []byte) error {
			return s.ChangeFaults(func(f *Faults) error { return f.merge(body) })
		},
		Runs:   func(after int) any { return s.Runs(after) },
		Counts: func() any { return s.Counts() },
	}.Routes()
}

// Faults returns a copy of the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	f.BadVersions = append([]BadVersion{}, f.BadVersions...)
	return f
}

// ChangeFaults calls change with a copy of the current faults and applies the result. It
// applies nothing and returns the error if change or the validation fails.
func (s *Server) ChangeFaults(change func(*Faults) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	f.BadVersions = append([]BadVersion{}, f.BadVersions...)
	if err := change(&f); err != nil {
		return err
	}
	if err := f.Validate(); err != nil {
		return err
	}
	s.advanceModel()
	s.applyFaults(f)
	event.StandinFaults.Log(s.log, slog.String("id", s.settings.ID), slog.Any("faults", f))
	return nil
}

func (s *Server) applyFaults(f Faults) {
	if f.SlowFactor != s.faults.SlowFactor {
		s.engine.SetSlow(f.SlowFactor)
	}
	if f.LoadLagMillis != s.faults.LoadLagMillis {
		s.engine.SetLoadLag(s.clock.now(), time.Duration(f.LoadLagMillis)*time.Millisecond)
	}
	if !s.restartAt.IsZero() && f.RestartMillis != s.faults.RestartMillis {
		s.restartAt = restartTime(f)
	}
	s.setFrozen(f.Frozen)
	s.faults = f
	s.updatePort()
	s.wakeDriver()
}

func (s *Server) setFrozen(frozen bool) {
	if frozen == s.clock.frozen {
		return
	}
	if frozen {
		s.clock.freeze()
		s.host.Freeze()
		return
	}
	s.clock.thaw()
	s.host.Thaw()
}

// Runs returns the runs from the index after, counted from 0.
func (s *Server) Runs(after int) RunPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs.page(after)
}

// Counts returns the engine's counters since its start.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs.counts
}
