package platform

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
)

func (s *Server) tableGet(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	req, err := decode[wire.GetRequest](r)
	if err != nil {
		respondError(w, err)
		return
	}
	row, err := s.state.Get(r.Context(), req.Key)
	respond(w, row, err)
}

func (s *Server) tableScan(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	req, err := decode[wire.ScanRequest](r)
	if err != nil {
		respondError(w, err)
		return
	}
	rows, err := s.state.Scan(r.Context(), req.Prefix, req.After, req.Limit)
	respond(w, wire.ScanResponse{Rows: rows}, err)
}

func (s *Server) tableCommit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	txn, err := decode[platform.Txn](r)
	if err != nil {
		respondError(w, err)
		return
	}
	result, err := s.state.Commit(r.Context(), txn)
	respond(w, result, err)
}

func (s *Server) rate(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	req, err := decode[platform.RateRequest](r)
	if err != nil {
		respondError(w, err)
		return
	}
	score, err := s.state.Rate(r.Context(), req)
	respond(w, wire.RateResponse{Score: score}, err)
}
