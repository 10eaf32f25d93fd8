package api

import (
	"net"
	"net/http"

	"github.com/julienschmidt/httprouter"
)

// addresses responds with the entry addresses for the caller. It requires no key, since
// it is a caller's first request.
func (s *Server) addresses(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	writeJSON(w, http.StatusOK, s.router.Addresses(host))
}
