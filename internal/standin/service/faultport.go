package service

import (
	"bytes"
	"log/slog"
	"net/http"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/standin/engine/host"
	"github.com/hickorybank/hickorybank/internal/standin/engine/model"
)

func (s *Server) faultRoutes() http.Handler {
	r := host.FaultPort{
		Faults: func() any { return s.Faults() },
		Change: func(body []byte) error {
			return s.ChangeFaults(func(f *Faults) error { return host.Decode(bytes.NewReader(body), f) })
		},
		Runs:   func(after int) any { return s.Runs(after) },
		Counts: func() any { return s.Counts() },
	}.Routes()
	r.GET("/doubles", host.Tell(func() any { return s.Doubles() }))
	return r
}

// Faults returns the present faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// ChangeFaults lets change edit the faults, and puts the result into effect
// unless change or the check of the result fails.
func (s *Server) ChangeFaults(change func(*Faults) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if err := change(&f); err != nil {
		return err
	}
	if err := f.Validate(); err != nil {
		return err
	}
	s.putFaults(f)
	event.StandinFaults.Log(s.log, slog.String("id", s.settings.ID), slog.Any("faults", f))
	return nil
}

func (s *Server) putFaults(f Faults) {
	old := s.faults
	s.faults = f
	if f.LoadLagMillis != old.LoadLagMillis {
		s.history = model.NewLoadHistory(millis(f.LoadLagMillis))
		s.note()
	}
	if f.Frozen {
		s.host.Freeze()
	} else {
		s.host.Thaw()
	}
	if s.crashed && f.RestartMillis != old.RestartMillis {
		s.wakeRestart()
	}
	s.openPort()
}

func (s *Server) wakeRestart() {
	select {
	case s.restart <- struct{}{}:
	default:
	}
}

// Runs returns the runs from number after on.
func (s *Server) Runs(after int) RunPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs.page(after)
}

// Doubles returns the calls with a key that ran more than once.
func (s *Server) Doubles() []Double {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs.doubles()
}

// Counts returns what the service has done so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs.total
}
