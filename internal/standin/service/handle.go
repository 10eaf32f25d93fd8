package service

import (
	"bytes"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/standin/engine/host"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// maxEcho bounds how much of a call's body comes back, in bytes.
const maxEcho = 256

func (s *Server) routes() http.Handler {
	r := httprouter.New()
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.HandleMethodNotAllowed = false
	r.HandleOPTIONS = false
	r.GET("/load", s.load)
	r.NotFound = http.HandlerFunc(s.call)
	isWork := func(r *http.Request) bool { return r.URL.Path != "/load" }
	return host.Saying(r, s.said, isWork, s.decline)
}

// said is what the service says of itself in its answers now.
func (s *Server) said() (said host.Said, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Said, s.faults.Leaving
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	l := s.history.At(s.now())
	report := upstream.LoadReport{
		Running:   l.Running,
		Limit:     s.settings.Limit,
		Leaving:   s.faults.Leaving,
		Epoch:     s.epoch,
		AgeMillis: s.faults.LoadLagMillis,
	}
	s.mu.Unlock()
	host.WriteJSON(w, report)
}

// call runs one call. It runs to its end also when the caller has gone, as a
// service does that has begun to write.
func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	body, err := host.ReadBody(w, r)
	if err != nil {
		s.decline(w, http.StatusBadRequest, err.Error())
		return
	}
	if !s.known(r.Method, r.URL.Path) {
		s.decline(w, http.StatusNotFound, "call is unknown")
		return
	}
	run := Run{Method: r.Method, Path: r.URL.Path, Key: r.Header.Get("Idempotency-Key")}
	n, count, ok := s.begin(run, body)
	if !ok {
		s.decline(w, http.StatusServiceUnavailable, "service is leaving")
		return
	}
	if !s.take() {
		s.lose(n)
		panic(http.ErrAbortHandler)
	}
	if !s.finish(n) {
		panic(http.ErrAbortHandler)
	}
	host.WriteJSON(w, Answer{
		Service: s.settings.Service,
		Path:    run.Path,
		Key:     run.Key,
		Count:   count,
		Echo:    string(body[:min(len(body), maxEcho)]),
	})
}

func (s *Server) decline(w http.ResponseWriter, status int, reason string) {
	s.mu.Lock()
	s.runs.total.Declined++
	s.mu.Unlock()
	host.Decline(w, status, reason)
}

func (s *Server) known(method, path string) bool {
	if len(s.settings.Calls) == 0 {
		return true
	}
	for _, c := range s.settings.Calls {
		if c.Method == method && strings.HasPrefix(path, c.Path) {
			return true
		}
	}
	return false
}

// begin notes the run; ok is false when the service takes no calls. A crash
// ends the request.
func (s *Server) begin(run Run, body []byte) (n, count int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		panic(http.ErrAbortHandler) // the connection is broken already
	}
	if s.faults.Leaving {
		return 0, 0, false
	}
	n, count = s.runs.start(run)
	s.note()
	if s.faults.CrashMarker != "" && bytes.Contains(body, []byte(s.faults.CrashMarker)) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	return n, count, true
}

// take lets the call's time pass. It reports false when the service is closed
// before.
func (s *Server) take() bool {
	s.mu.Lock()
	d := s.settings.Latency + millis(s.faults.DelayMillis)
	s.mu.Unlock()
	if d == 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		s.host.WaitThawed()
		return true
	case <-s.host.Cut():
		return false
	}
}

func (s *Server) lose(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs.end(n, RunLost)
	s.note()
}

// finish notes the end of the run. It reports false when no answer may be sent:
// the service has crashed meanwhile, or the answer is to be lost.
func (s *Server) finish(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.runs.end(n, RunCompleted) {
		return false
	}
	s.note()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		s.runs.total.LostAnswers++
		return false
	}
	return true
}
