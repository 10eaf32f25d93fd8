package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

const (
	// NotRunHeader says that the engine's contract is that it did not run the
	// request that it answers.
	NotRunHeader = "X-Not-Run"

	maxBody = 16 << 20
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
	return r
}

// decline answers a request that is certain not to run.
func decline(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(NotRunHeader, "1")
	http.Error(w, reason, status)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	report := upstream.LoadReport{Running: s.running, Limit: s.settings.BatchLimit, Versions: slices.Clone(s.versions)}
	s.mu.Unlock()
	writeJSON(w, report)
}

func (s *Server) order(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var o upstream.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&o); err != nil {
		decline(w, http.StatusBadRequest, "order: "+err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settings.HonourFence && o.Fence < s.fence {
		decline(w, http.StatusConflict, "order has an old fencing number")
		return
	}
	s.fence = max(s.fence, o.Fence)
	switch o.Action {
	case upstream.LoadVersion:
		if !slices.Contains(s.versions, o.Version) {
			s.versions = append(s.versions, o.Version)
		}
	case upstream.UnloadVersion:
		s.versions = slices.DeleteFunc(s.versions, func(v string) bool { return v == o.Version })
	case upstream.SetRole:
		s.role = o.Role
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) state(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	st := upstream.EngineState{Fence: s.fence, Role: s.role, Versions: slices.Clone(s.versions)}
	s.mu.Unlock()
	writeJSON(w, st)
}

func (s *Server) importKV(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	prefix, err := strconv.ParseUint(p.ByName("prefix"), 16, 64)
	if err != nil {
		http.Error(w, "prefix is no hexadecimal number", http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.kv[prefix] = body
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) exportKV(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	prefix, err := strconv.ParseUint(p.ByName("prefix"), 16, 64)
	if err != nil {
		http.Error(w, "prefix is no hexadecimal number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	body, ok := s.kv[prefix]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "prefix is not cached", http.StatusNotFound)
		return
	}
	_, _ = w.Write(body)
}

func (s *Server) cacheEvents(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, []struct{}{})
}
