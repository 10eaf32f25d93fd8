package api

import (
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/request"
)

// notReadyRetryDelay is the retry delay sent to callers while no configuration is in
// force.
const notReadyRetryDelay = time.Second

// Server is the HTTP handler of the API.
type Server struct {
	router Router
	mux    *httprouter.Router
}

// New returns a Server that passes valid requests to router.
func New(router Router) *Server {
	s := &Server{router: router, mux: httprouter.New()}
	s.mux.POST("/v1/chat/completions", s.authenticated(s.chat))
	s.mux.GET("/v1/streams/:token", s.authenticated(s.resume))
	s.mux.GET("/v1/models", s.authenticated(s.models))
	s.mux.GET("/v1/addresses", s.addresses)
	for _, method := range serviceMethods {
		s.mux.Handle(method, "/v1/services/:service/*path", s.authenticated(s.service))
	}
	s.mux.NotFound = http.HandlerFunc(s.notFound)
	s.mux.MethodNotAllowed = http.HandlerFunc(s.notFound)
	return s
}

// ServeHTTP implements [http.Handler].
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// identity is the organisation of the caller and the configuration under which it was
// authenticated.
type identity struct {
	snapshot *config.Snapshot
	org      *config.Organisation
}

// handler handles a request of an authenticated caller.
type handler func(http.ResponseWriter, *http.Request, httprouter.Params, identity)

// authenticated authenticates the caller by the key of an organisation before it calls
// next.
func (s *Server) authenticated(next handler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		snapshot := s.router.Snapshot()
		if snapshot == nil {
			s.refuse(w, Refusal{BeforeRouter: true}, request.Refuse(request.CodeNotFresh, notReadyRetryDelay, "no configuration is in force here yet"))
			return
		}
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		org := snapshot.OrganisationByKey(key)
		if !ok || org == nil {
			s.refuse(w, Refusal{Snapshot: snapshot, BeforeRouter: true}, request.Refuse(request.CodeUnauthorised, 0, "Authorization: a known bearer key is needed"))
			return
		}
		next(w, r, p, identity{snapshot: snapshot, org: org})
	}
}

// notFound refuses a request with an unknown path or method.
func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	f := badRequest(request.ReasonUnknownPath, "there is no "+r.Method+" "+r.URL.Path)
	s.count(Refusal{Snapshot: s.router.Snapshot(), BeforeRouter: true}, f)
	_, body := newErrorBody(f)
	writeJSON(w, http.StatusNotFound, body)
}
