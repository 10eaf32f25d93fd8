package engine

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/standin/engine/host"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

func (s *Server) routes() http.Handler {
	r := httprouter.New()
	r.POST("/v1/chat/completions", s.complete)
	r.GET("/v1/streams/:attempt", s.resume)
	r.DELETE("/v1/streams/:attempt", s.cancel)
	r.GET("/load", s.load)
	r.POST("/orders", s.order)
	r.GET("/state", s.state)
	r.PUT("/kv/:prefix", s.importKV)
	r.GET("/kv/:prefix", s.exportKV)
	r.GET("/cache-events", s.cacheEvents)
	isWork := func(r *http.Request) bool { return r.Method == http.MethodPost && r.URL.Path == "/v1/chat/completions" }
	refuse := func(w http.ResponseWriter, status int, reason string) {
		s.decline(w, &refusal{status: status, reason: reason})
	}
	return host.WithStatusHeaders(r, s.announcedStatus, isWork, refuse)
}

// announcedStatus returns the status that the engine currently announces in its answers.
func (s *Server) announcedStatus() (said host.Said, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Said, s.faults.Leaving
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	l := s.engine.Load(s.clock.now())
	report := upstream.LoadReport{
		Running:   l.Running,
		Queued:    l.Queued,
		Limit:     s.settings.BatchLimit,
		Versions:  s.control.Versions(),
		Leaving:   s.faults.Leaving,
		Epoch:     s.epoch,
		AgeMillis: s.faults.LoadLagMillis,
	}
	s.mu.Unlock()
	host.WriteJSON(w, report)
}
