package api

import (
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/request"
)

const notReadyRetry = time.Second

// Server answers callers.
type Server struct {
	router Router
	mux    *httprouter.Router
}

// New returns the callers' interface before a router.
func New(router Router) *Server {
	s := &Server{router: router, mux: httprouter.New()}
	s.mux.POST("/v1/chat/completions", s.caller(s.chat))
	s.mux.GET("/v1/streams/:token", s.caller(s.readOn))
	s.mux.GET("/v1/models", s.caller(s.models))
	s.mux.GET("/v1/addresses", s.addresses)
	for _, method := range serviceMethods {
		s.mux.Handle(method, "/v1/services/:service/*path", s.caller(s.service))
	}
	s.mux.NotFound = http.HandlerFunc(s.notFound)
	s.mux.MethodNotAllowed = http.HandlerFunc(s.notFound)
	return s
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// identity is who calls, under which configuration.
type identity struct {
	snapshot *config.Snapshot
	org      *config.Organisation
}

type handler func(http.ResponseWriter, *http.Request, httprouter.Params, identity)

// caller admits only bearers of an organisation's key.
func (s *Server) caller(next handler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		snapshot := s.router.Snapshot()
		if snapshot == nil {
			s.refuse(w, Refusal{AtDoor: true}, request.Refuse(request.CodeNotFresh, notReadyRetry, "no configuration is in force here yet"))
			return
		}
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		org := snapshot.OrganisationByKey(key)
		if !ok || org == nil {
			s.refuse(w, Refusal{Snapshot: snapshot, AtDoor: true}, request.Refuse(request.CodeUnauthorised, 0, "Authorization: a known bearer key is needed"))
			return
		}
		next(w, r, p, identity{snapshot: snapshot, org: org})
	}
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	f := badFor(request.ReasonUnknownPath, "there is no "+r.Method+" "+r.URL.Path)
	s.count(Refusal{Snapshot: s.router.Snapshot(), AtDoor: true}, f)
	_, body := newErrorBody(f)
	writeJSON(w, http.StatusNotFound, body)
}
