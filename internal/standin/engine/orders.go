package engine

import (
	"log/slog"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/standin/engine/host"
	"github.com/hickorybank/hickorybank/internal/standin/engine/model"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

func (s *Server) order(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var o upstream.Order
	if err := host.Decode(r.Body, &o); err != nil {
		host.Decline(w, http.StatusBadRequest, "order: "+err.Error())
		return
	}
	control, verdict := s.applyOrder(o)
	attrs := []slog.Attr{slog.String("id", s.settings.ID), slog.Any("order", o)}
	switch verdict {
	case model.Stale:
		event.StandinStale.Log(s.log, attrs...)
		host.Decline(w, http.StatusConflict, "order has an old fencing number")
		return
	case model.Invalid:
		host.Decline(w, http.StatusBadRequest, "order says nothing that can be done")
		return
	case model.Fetch:
		s.fetch(control, o.Version)
	case model.Applied:
	}
	event.StandinOrder.Log(s.log, attrs...)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) applyOrder(o upstream.Order) (*model.Control, model.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abortIfCrashed()
	return s.control, s.control.Apply(o)
}

// fetch downloads the version's weights in the background and reports the result to
// control. If the engine crashes meanwhile, control is no longer in use and the result
// has no effect.
func (s *Server) fetch(control *model.Control, version string) {
	if s.weights.instant() {
		s.mu.Lock()
		control.Fetched(version)
		s.mu.Unlock()
		return
	}
	s.tasks.Go(func() {
		err := s.weights.fetch(s.baseCtx, version)
		s.mu.Lock()
		defer s.mu.Unlock()
		if err == nil {
			control.Fetched(version)
			return
		}
		control.Abandon(version)
		event.StandinLoadFail.Log(s.log, slog.String("id", s.settings.ID), slog.String("version", version), slog.Any("error", err))
	})
}

func (s *Server) state(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	st := s.control.State()
	s.mu.Unlock()
	host.WriteJSON(w, st)
}
