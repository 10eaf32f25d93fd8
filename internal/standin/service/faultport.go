package service

import (
	"bytes"
	"log/slog"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/standin/engine/host"
	"github.com/hickorybank/hickorybank/internal/standin/engine/model"
)

func (s *Server) faultRoutes() http.Handler {
	r := httprouter.New()
	r.GET("/faults", s.getFaults)
	r.POST("/faults", s.postFaults)
	r.GET("/runs", s.getRuns)
	r.GET("/doubles", s.getDoubles)
	r.GET("/counts", s.getCounts)
	return r
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	host.WriteJSON(w, s.Faults())
}

// postFaults changes the faults that the body names; the others stay.
func (s *Server) postFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := host.ReadBody(w, r)
	if err == nil {
		err = s.ChangeFaults(func(f *Faults) error { return host.Decode(bytes.NewReader(body), f) })
	}
	if err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	host.WriteJSON(w, s.Faults())
}

func (s *Server) getRuns(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	after := 0
	if text := r.URL.Query().Get("after"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			http.Error(w, "after is no run number", http.StatusBadRequest)
			return
		}
		after = n
	}
	host.WriteJSON(w, s.Runs(after))
}

func (s *Server) getDoubles(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	host.WriteJSON(w, s.Doubles())
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	host.WriteJSON(w, s.Counts())
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
