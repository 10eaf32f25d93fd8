package platform

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/julienschmidt/httprouter"
)

// zeros are what weights are made of.
var zeros [1 << 20]byte

// weights sends a version's weights at the pace of the weight store. A fault
// in the middle breaks the connection, and the length tells the client.
func (s *Server) weights(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	version := strings.TrimPrefix(params.ByName("version"), "/")
	download, err := s.state.Weights(r.Context(), version)
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(download.Left(), 10))
	for download.Left() > 0 {
		n, err := download.Next(r.Context())
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(zeros[:n]); err != nil {
			return
		}
	}
}
