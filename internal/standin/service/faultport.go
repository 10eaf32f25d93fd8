package service

import (
	"bytes"
	"log/slog"
	"net/http"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/standin/engine/host"
	"github.com/hickorybank/hickorybank/internal/standin/engine/model"
)

// faultRoutes returns the handler of the fault port.
func (s *Server) faultRoutes() http.Handler {
	r := host.FaultPort{
		Faults: func() any { return s.Faults() },
		Change: func(body []byte) error {
			return s.ChangeFaults(func(f *Faults) error { return host.Decode(bytes.NewReader(body), f) })
		},
		Runs:   func(after int) any { return s.Runs(after) },
		Counts: func() any { return s.Counts() },
	}.Routes()
	r.GET("/doubles", host.ServeJSON(func() any { return s.RepeatedCalls() }))
	return r
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// ChangeFaults calls change with a copy of the current faults and applies the result. It
// applies nothing and returns the error if change or the validation fails.
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
	s.applyFaults(f)
	event.StandinFaults.Log(s.log, slog.String("id", s.settings.ID), slog.Any("faults", f))
	return nil
}

func (s *Server) applyFaults(f Faults) {
	old := s.faults
	s.faults = f
	if f.LoadLagMillis != old.LoadLagMillis {
		s.history = model.NewLoadHistory(millis(f.LoadLagMillis))
		s.recordLoad()
	}
	if f.Frozen {
		s.host.Freeze()
	} else {
		s.host.Thaw()
	}
	if s.crashed && f.RestartMillis != old.RestartMillis {
		s.notifyRestart()
	}
	s.updatePort()
}

// notifyRestart makes restartAfterCrash read the changed restart time. It does not block.
func (s *Server) notifyRestart() {
	select {
	case s.restartChanged <- struct{}{}:
	default:
	}
}

// Runs returns the runs from the index after, counted from 0.
func (s *Server) Runs(after int) RunPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs.page(after)
}

// RepeatedCalls returns the calls with an Idempotency-Key that ran more than once, in the
// order of their first runs.
func (s *Server) RepeatedCalls() []RepeatedCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs.repeatedCalls()
}

// Counts returns the service's counters since its start.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs.total
}
