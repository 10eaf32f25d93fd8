package admin

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/event"
)

// Bounds of a request.
const (
	// maxBody leaves room for white space in a document.
	maxBody = 4 << 20
	// requestTimeout bounds what a request waits for the platform's store.
	requestTimeout = 15 * time.Second
	// bodyTimeout bounds how long a body may take to arrive.
	bodyTimeout = 30 * time.Second
	// confirmTimeout bounds what an accepted change waits to hear of other
	// nodes before it is answered.
	confirmTimeout = time.Second
)

// Deps are what the server answers from. Store, Keys and Log are needed; a
// reader that is nil is answered as not offered.
type Deps struct {
	Store     *Store
	Keys      Keys
	Confirmer Confirmer
	Bills     BillReader
	Nodes     NodeReader
	Upstreams UpstreamReader
	Rollouts  RolloutReader
	Holds     HoldKeeper
	// Accepted is told of each revision accepted here; may be nil.
	Accepted func(revision uint64)
	Log      *slog.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Server is the administration API.
type Server struct {
	deps Deps
	mux  *httprouter.Router
	// bodyTimeout is the constant, but for tests.
	bodyTimeout time.Duration
	// offered are the method and path of each route, for the page about them.
	offered []string
}

// NewServer returns the administration API. The listener is the caller's.
func NewServer(d Deps) *Server {
	if d.Now == nil {
		d.Now = time.Now
	}
	s := &Server{deps: d, mux: httprouter.New(), bodyTimeout: bodyTimeout}
	s.routes()
	return s
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) routes() {
	s.configurationRoutes()
	s.entityRoutes()
	s.versionRoutes()
	s.statusRoutes()
	s.mux.NotFound = s.operator(func(in *incoming) (any, *Failure) {
		return nil, notFound("there is no %s %s", in.r.Method, in.r.URL.Path)
	})
	s.mux.MethodNotAllowed = s.mux.NotFound
	s.mux.HandleOPTIONS = false
	s.mux.RedirectTrailingSlash = false
	s.mux.RedirectFixedPath = false
}

// incoming is one request of a known operator.
type incoming struct {
	r        *http.Request
	w        http.ResponseWriter
	params   httprouter.Params
	operator string
}

// handler returns the body of the answer, or a failure.
type handler func(in *incoming) (any, *Failure)

func (s *Server) handle(method, path string, h handler) {
	s.offered = append(s.offered, method+" "+path)
	s.mux.Handle(method, path, func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		s.serve(w, r, p, h)
	})
}

func (s *Server) operator(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, nil, h) }
}

// serve admits only bearers of an operator's key. An organisation's key opens
// nothing here: the two sets are never looked up in one place.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, p httprouter.Params, h handler) {
	operator, ok := s.deps.Keys.bearer(r)
	if !ok {
		event.AdminUnauthorised.Log(s.deps.Log, slog.String("remote", r.RemoteAddr), slog.String("path", r.URL.Path))
		writeFailure(w, fail(http.StatusUnauthorized, CodeUnauthorised, "Authorization: an operator's bearer key is needed"))
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	// A body that never ends would hold its connection for good. A writer that
	// has no deadlines (in tests) has no connection either.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.bodyTimeout))
	body, failure := h(&incoming{r: r, w: w, params: p, operator: operator})
	if failure != nil {
		s.logFailure(operator, r, failure)
		writeFailure(w, failure)
		return
	}
	writeJSON(w, http.StatusOK, body)
}

func (s *Server) logFailure(operator string, r *http.Request, f *Failure) {
	e := event.AdminRefused
	if f.Code == CodeUnknown || f.Code == CodeStoreUnavailable || f.Code == CodeInternal {
		e = event.AdminFailed
	}
	e.Log(s.deps.Log,
		slog.String("operator", operator), slog.String("method", r.Method), slog.String("path", r.URL.Path),
		slog.String("code", string(f.Code)), slog.String("change", f.Change), slog.String("reason", f.Message))
}

func writeFailure(w http.ResponseWriter, f *Failure) {
	if f.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64((f.RetryAfter+time.Second-1)/time.Second), 10))
	}
	if f.Revision != nil {
		setRevision(w, *f.Revision)
	}
	writeJSON(w, f.Status, FailureBody{Error: *f})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(body) // the operator may have gone; nothing is left to do
}

func readBody(in *incoming) ([]byte, *Failure) {
	body, err := io.ReadAll(in.r.Body)
	if err != nil {
		return nil, bodyFailure(err)
	}
	return body, nil
}
