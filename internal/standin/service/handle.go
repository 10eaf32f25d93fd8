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

// maxEcho is the maximum length of [Answer.Echo], in bytes.
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
	return host.WithStatusHeaders(r, s.announcedStatus, isWork, s.decline)
}

// announcedStatus returns the status that the service currently announces in its answers.
func (s *Server) announcedStatus() (said host.Said, leaving bool) {
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

// call runs one call. The run continues when the caller disconnects, as in a service that
// has started to write.
func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	body, err := host.ReadBody(w, r)
	if err != nil {
		s.decline(w, http.StatusBadRequest, err.Error())
		return
	}
	if !s.isKnown(r.Method, r.URL.Path) {
		s.decline(w, http.StatusNotFound, "call is unknown")
		return
	}
	run := Run{Method: r.Method, Path: r.URL.Path, Key: r.Header.Get("Idempotency-Key")}
	n, count, ok := s.begin(run, body)
	if !ok {
		s.decline(w, http.StatusServiceUnavailable, "service is leaving")
		return
	}
	if !s.waitLatency() {
		s.endLost(n)
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

// decline counts a call that does not run, and answers it.
func (s *Server) decline(w http.ResponseWriter, status int, reason string) {
	s.mu.Lock()
	s.runs.total.Declined++
	s.mu.Unlock()
	host.Decline(w, status, reason)
}

// isKnown reports whether the settings include a call with the method and a prefix of the
// path. Without configured calls, every call is known.
func (s *Server) isKnown(method, path string) bool {
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

// begin records the start of a run. It returns the run's index and how often its call has
// run; ok is false when the service is leaving. It aborts the request if the service is
// crashed or the body has the crash marker.
func (s *Server) begin(run Run, body []byte) (n, count int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		panic(http.ErrAbortHandler) // the crash has closed the connection
	}
	if s.faults.Leaving {
		return 0, 0, false
	}
	n, count = s.runs.start(run)
	s.recordLoad()
	if s.faults.CrashMarker != "" && bytes.Contains(body, []byte(s.faults.CrashMarker)) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	return n, count, true
}

// waitLatency waits for the latency of the call and the delay fault. It reports false if
// the service is closed before.
func (s *Server) waitLatency() bool {
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

// endLost ends a run that the closing of the service interrupts.
func (s *Server) endLost(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs.end(n, RunLost)
	s.recordLoad()
}

// finish completes a run. It reports false when no answer must be sent: the service has
// crashed meanwhile, or a fault loses the answer.
func (s *Server) finish(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.runs.end(n, RunCompleted) {
		return false
	}
	s.recordLoad()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		s.runs.total.LostAnswers++
		return false
	}
	return true
}
