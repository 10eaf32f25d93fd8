package platform

import (
	"log/slog"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
	"github.com/hickorybank/hickorybank/internal/standin/platform/control"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
	"github.com/hickorybank/hickorybank/internal/standin/platform/rating"
)

// faultRoutes returns the handler of the fault port.
func (s *Server) faultRoutes() http.Handler {
	router := newRouter()
	router.POST(control.PathFaults, s.setFaults)
	router.GET(control.PathFaults, s.getFaults)
	router.POST(control.PathLimits, s.setLimits)
	router.GET(control.PathLimits, s.getLimits)
	router.POST(control.PathQuality, s.setQuality)
	router.GET(control.PathStats, s.stats)
	router.GET(control.PathDump, s.dump)
	return router
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	change, err := decode[fault.Change](r)
	if err == nil {
		err = s.state.SetFaults(change)
	}
	if err == nil {
		event.PlatformFaultsChanged.Log(s.log, slog.Any("faults", s.state.Faults()))
	}
	respond(w, s.state.Faults(), err)
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	respond(w, s.state.Faults(), nil)
}

func (s *Server) setLimits(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	change, err := decode[memory.LimitsChange](r)
	if err == nil {
		err = s.state.SetLimits(change)
	}
	if err == nil {
		event.PlatformLimitsChanged.Log(s.log, slog.Any("limits", s.state.Limits()))
	}
	respond(w, s.state.Limits(), err)
}

func (s *Server) getLimits(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	respond(w, s.state.Limits(), nil)
}

func (s *Server) setQuality(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	quality, err := decode[rating.Quality](r)
	if err == nil {
		err = s.state.SetQuality(quality)
	}
	if err == nil {
		event.PlatformQualityChanged.Log(s.log, slog.Any("quality", quality))
	}
	respond(w, quality, err)
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	respond(w, s.state.Stats(), nil)
}

func (s *Server) dump(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	respond(w, s.state.Dump(r.URL.Query().Get(wire.QueryPrefix)), nil)
}
