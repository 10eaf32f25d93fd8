package engine

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/standin/engine/host"
	"github.com/hickorybank/hickorybank/internal/standin/engine/model"
)

// refusal is the reason why a request does not run. Nil means that it was accepted.
type refusal struct {
	status int
	reason string
}

// complete handles a chat completion: it submits the request and streams the answer.
func (s *Server) complete(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := host.ReadBody(w, r)
	if err != nil {
		s.decline(w, &refusal{http.StatusBadRequest, err.Error()})
		return
	}
	req, err := parseChat(body)
	if err != nil {
		s.decline(w, &refusal{http.StatusBadRequest, err.Error()})
		return
	}
	g, prio, prefix, refused := s.generationOf(r.Header, req)
	if refused != nil {
		s.decline(w, refused)
		return
	}
	sf, refused := s.submit(g, prio, prefix, string(body))
	if refused != nil {
		s.decline(w, refused)
		return
	}
	s.send(w, r, g, 0, sf)
}

// decline counts a request that does not run, and answers it.
func (s *Server) decline(w http.ResponseWriter, refused *refusal) {
	s.mu.Lock()
	s.runs.counts.Declined++
	s.mu.Unlock()
	host.Decline(w, refused.status, refused.reason)
}

// generationOf returns the generation, priority and prefix hash that the headers and
// the body of an attempt describe.
func (s *Server) generationOf(h http.Header, req chatRequest) (g *generation, priority int, prefix uint64, refused *refusal) {
	attempt := h.Get("X-Attempt-Id")
	if attempt == "" {
		return nil, 0, 0, &refusal{http.StatusBadRequest, "X-Attempt-Id is missing"}
	}
	priority, err := number(h.Get("X-Priority"), strconv.Atoi)
	if err != nil {
		return nil, 0, 0, &refusal{http.StatusBadRequest, "X-Priority: " + err.Error()}
	}
	prefix, err = number(h.Get("X-Prefix-Hash"), parsePrefix)
	if err != nil {
		return nil, 0, 0, &refusal{http.StatusBadRequest, "X-Prefix-Hash: " + err.Error()}
	}
	g = &generation{
		attempt: attempt,
		key:     h.Get("Idempotency-Key"),
		version: req.Model,
		digest:  Digest(req.lastUser()),
		tokens:  s.settings.TokensPerAnswer,
		input:   req.inputTokens(),
		run:     noRun,
	}
	if req.MaxTokens > 0 && req.MaxTokens < g.tokens {
		g.tokens = req.MaxTokens
		g.cutShort = true
	}
	return g, priority, prefix, nil
}

// number parses a header that may be missing.
func number[T any](text string, parse func(string) (T, error)) (T, error) {
	if text == "" {
		var zero T
		return zero, nil
	}
	return parse(text)
}

func parsePrefix(text string) (uint64, error) { return strconv.ParseUint(text, 16, 64) }

// submit submits the generation to the model engine. It returns the faults of its
// stream, or the reason why it does not run.
func (s *Server) submit(g *generation, priority int, prefix uint64, body string) (streamFaults, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Leaving {
		return streamFaults{}, &refusal{http.StatusServiceUnavailable, "engine is leaving"}
	}
	if !s.control.Has(g.version) {
		return streamFaults{}, &refusal{http.StatusNotFound, "version is not loaded"}
	}
	s.advanceModel()
	s.abortIfCrashed()
	s.lastID++
	g.id = s.lastID
	g.crashes = s.faults.CrashMarker != "" && strings.Contains(body, s.faults.CrashMarker)
	g.failAfter = s.drawFailure(g)
	ticket, ok := s.engine.Submit(s.clock.now(), model.Request{
		ID: g.id, Priority: priority, Prefix: prefix, Prefill: s.settings.TimeToFirstToken, Tokens: g.tokens,
	})
	if !ok {
		return streamFaults{}, &refusal{http.StatusTooManyRequests, "queue is full"}
	}
	g.ticket = ticket
	g.idleSince = s.clock.now()
	s.streams[g.attempt] = g
	s.running[g.id] = g
	s.wakeDriver()
	return s.faults.takeStream(), nil
}

// drawFailure draws whether the version fails in this answer. It returns the number of
// the chunk after which it fails, or 0.
func (s *Server) drawFailure(g *generation) int {
	rate := s.faults.errorRate(g.version)
	draw := model.Draw(s.settings.Seed, g.id)
	if float64(draw>>11)/(1<<53) >= rate {
		return 0
	}
	return 1 + int(model.Draw(^s.settings.Seed, g.id)%uint64(g.tokens))
}
