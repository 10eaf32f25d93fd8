package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

func (s *Server) complete(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		decline(w, http.StatusBadRequest, err.Error())
		return
	}
	req, err := parseChat(body)
	if err != nil {
		decline(w, http.StatusBadRequest, err.Error())
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	if attempt == "" {
		decline(w, http.StatusBadRequest, "X-Attempt-Id is missing")
		return
	}
	g := newGeneration(attempt, req.Model, Digest(req.lastUser()))
	if !s.begin(g) {
		decline(w, http.StatusNotFound, "version is not loaded")
		return
	}
	tokens := s.settings.TokensPerAnswer
	if req.MaxTokens > 0 {
		tokens = min(tokens, req.MaxTokens)
	}
	s.tasks.Go(func() { s.generate(g, tokens, len(body)/4+1) })
	s.send(w, r, g, 0)
}

// begin registers the generation if its version is loaded.
func (s *Server) begin(g *generation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.versions, g.version) {
		return false
	}
	s.streams[g.attempt] = g
	s.running++
	return true
}

func (s *Server) generate(g *generation, tokens, input int) {
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	wait := s.settings.TimeToFirstToken
	for i := 1; i <= tokens; i++ {
		select {
		case <-time.After(wait):
		case <-s.stop.Done():
			g.fail()
			return
		}
		wait = s.settings.TokenGap
		c := upstream.Chunk{Text: fmt.Sprintf("t%d ", i)}
		if i == 1 {
			c.Text = FirstText(g.version, g.digest, g.attempt)
		}
		if i == tokens {
			c.Done = true
			c.FinishReason = "stop"
			c.Usage = upstream.Usage{InputTokens: input, OutputTokens: tokens}
		}
		g.add(c)
	}
}

func (s *Server) resume(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	seq, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || seq < 0 {
		http.Error(w, "after is no piece number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	g := s.streams[p.ByName("attempt")]
	s.mu.Unlock()
	if g == nil {
		http.Error(w, "stream is unknown", http.StatusNotFound)
		return
	}
	s.send(w, r, g, seq)
}

func (s *Server) cancel(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	s.mu.Lock()
	g := s.streams[p.ByName("attempt")]
	s.mu.Unlock()
	if g == nil {
		http.Error(w, "stream is unknown", http.StatusNotFound)
		return
	}
	g.fail()
	w.WriteHeader(http.StatusNoContent)
}

// send follows the generation from the piece after seq to its end.
func (s *Server) send(w http.ResponseWriter, r *http.Request, g *generation, seq int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	for {
		pieces, ended, more := g.after(seq)
		for _, c := range pieces {
			if writePiece(w, c) != nil {
				return
			}
			seq = c.Seq
		}
		_ = rc.Flush()
		if ended {
			return
		}
		select {
		case <-more:
		case <-r.Context().Done():
			return
		case <-s.stop.Done():
			return
		}
	}
}

func writePiece(w io.Writer, c upstream.Chunk) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", c.Seq, data)
	return err
}
