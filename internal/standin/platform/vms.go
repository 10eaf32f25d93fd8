package platform

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
)

func (s *Server) vmList(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	list, err := s.state.VMs().List(r.Context())
	if err != nil {
		respondError(w, err)
		return
	}
	respondConditional(w, r, wire.VMsResponse{VMs: list})
}

func (s *Server) vmRegister(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	vm, err := decode[platform.VM](r)
	if err != nil {
		respondError(w, err)
		return
	}
	respondEmpty(w, s.state.RegisterVM(r.Context(), vm))
}

func (s *Server) vmLeave(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	respondEmpty(w, s.state.LeaveVM(r.Context(), params.ByName("id")))
}

func (s *Server) vmRemove(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	respondEmpty(w, s.state.RemoveVM(r.Context(), params.ByName("id")))
}
