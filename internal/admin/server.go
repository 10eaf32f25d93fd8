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

// Limits of a request.
const (
	// maxBody is the largest body, in bytes. It leaves room for white space in a document.
	maxBody = 4 << 20
	// requestTimeout is how long a request waits for the platform's store.
	requestTimeout = 15 * time.Second
	// bodyTimeout is how long a body may take to arrive.
	bodyTimeout = 30 * time.Second
	// confirmTimeout is how long an accepted change waits for other nodes' confirmations before it
	// is answered without them.
	confirmTimeout = time.Second
)

// Deps are the dependencies of a [Server]. Store, Keys and Log are required. Requests that need a
// reader that is nil get [CodeNotOffered].
type Deps struct {
	Store     *Store
	Keys      Keys
	Confirmer Confirmer
	Bills     BillReader
	Nodes     NodeReader
	Upstreams UpstreamReader
	Rollouts  RolloutReader
	Holds     HoldManager
	Crashes   CrashManager
	// OnAccepted is called with each revision that this server has accepted; may be nil.
	OnAccepted func(revision uint64)
	Log        *slog.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Server serves the administration API over HTTP.
type Server struct {
	deps Deps
	mux  *httprouter.Router
	// bodyTimeout is the constant of that name; tests shorten it.
	bodyTimeout time.Duration
	// endpoints are the method and path of each route. A test compares them with the API's page.
	endpoints []string
}

// NewServer returns the administration API as a handler; the caller listens.
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
	s.crashRoutes()
	s.mux.NotFound = s.handlerFunc(func(in *request) (any, *Failure) {
		return nil, notFound("there is no %s %s", in.r.Method, in.r.URL.Path)
	})
	s.mux.MethodNotAllowed = s.mux.NotFound
	s.mux.HandleOPTIONS = false
	s.mux.RedirectTrailingSlash = false
	s.mux.RedirectFixedPath = false
}

// request is one authenticated request of an operator.
type request struct {
	r        *http.Request
	w        http.ResponseWriter
	params   httprouter.Params
	operator string
}

// handler returns the value that is sent as JSON, or a failure.
type handler func(in *request) (any, *Failure)

func (s *Server) handle(method, path string, h handler) {
	s.endpoints = append(s.endpoints, method+" "+path)
	s.mux.Handle(method, path, func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		s.serve(w, r, p, h)
	})
}

func (s *Server) handlerFunc(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, nil, h) }
}

// serve authenticates the operator and calls the handler. An organisation's key is never accepted:
// the keys of operators and of organisations are kept and looked up separately.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, p httprouter.Params, h handler) {
	operator, ok := s.deps.Keys.bearer(r)
	if !ok {
		event.AdminUnauthorised.Log(s.deps.Log, slog.String("remote", r.RemoteAddr), slog.String("path", r.URL.Path))
		writeFailure(w, newFailure(http.StatusUnauthorized, CodeUnauthorised, "Authorization: an operator's bearer key is needed"))
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	// A body that never ends would occupy its connection for ever. The error is ignored: only
	// writers without a connection (in tests) have no deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.bodyTimeout))
	body, failure := h(&request{r: r, w: w, params: p, operator: operator})
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
		setETag(w, *f.Revision)
	}
	writeJSON(w, f.Status, FailureBody{Error: *f})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(body) // fails if the client has disconnected; there is nothing to do then
}

func readBody(in *request) ([]byte, *Failure) {
	body, err := io.ReadAll(in.r.Body)
	if err != nil {
		return nil, bodyFailure(err)
	}
	return body, nil
}
