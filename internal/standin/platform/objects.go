package platform

import (
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
)

func (s *Server) objectPut(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	value, err := readBody(r)
	if err != nil {
		respondError(w, err)
		return
	}
	key := r.URL.Query().Get(wire.QueryKey)
	respondEmpty(w, s.state.Objects().Put(r.Context(), key, value))
}

func (s *Server) objectGet(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	key := r.URL.Query().Get(wire.QueryKey)
	value, ok, err := s.state.Objects().Get(r.Context(), key)
	if err != nil {
		respondError(w, err)
		return
	}
	if !ok {
		writeRefusal(w, &wire.Refusal{Reason: wire.Absent, Detail: "no such object"})
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(value)))
	_, _ = w.Write(value)
}

func (s *Server) objectKeys(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	prefix := r.URL.Query().Get(wire.QueryPrefix)
	keys, err := s.state.Objects().List(r.Context(), prefix)
	respond(w, wire.KeysResponse{Keys: keys}, err)
}
