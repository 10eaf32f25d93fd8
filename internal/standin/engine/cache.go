package engine

import (
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/standin/engine/host"
	"github.com/hickorybank/hickorybank/internal/standin/engine/model"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// kvBlob represents the KV cache of a prefix in a transfer between engines.
type kvBlob struct {
	Prefix uint64 `json:"prefix"`
	From   string `json:"from"`
}

func (s *Server) importKV(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	prefix, err := parsePrefix(p.ByName("prefix"))
	var blob kvBlob
	if err == nil {
		err = host.Decode(r.Body, &blob)
	}
	if err != nil || blob.Prefix != prefix || prefix == 0 {
		http.Error(w, "this is no KV cache of the prefix", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.engine.Import(s.clock.now(), prefix)
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) exportKV(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	prefix, err := parsePrefix(p.ByName("prefix"))
	if err != nil {
		http.Error(w, "prefix is no hexadecimal number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	cached := s.engine.Cached(prefix)
	s.mu.Unlock()
	if !cached {
		http.Error(w, "prefix is not cached", http.StatusNotFound)
		return
	}
	host.WriteJSON(w, kvBlob{Prefix: prefix, From: s.settings.ID})
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	after, err := number(r.URL.Query().Get("after"), func(t string) (uint64, error) { return strconv.ParseUint(t, 10, 64) })
	if err != nil {
		http.Error(w, "after is no event number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	events := s.engine.CacheEvents(s.clock.now(), after, nil)
	s.mu.Unlock()
	out := make([]upstream.CacheEvent, 0, len(events))
	for _, ev := range events {
		out = append(out, upstream.CacheEvent{Seq: ev.Seq, Prefix: ev.Prefix, Stored: ev.Kind == model.Stored})
	}
	host.WriteJSON(w, out)
}
