package api

import (
	"net"
	"net/http"

	"github.com/julienschmidt/httprouter"
)

// addresses needs no key: a caller asks before anything else.
func (s *Server) addresses(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	writeJSON(w, http.StatusOK, s.router.Addresses(host))
}
