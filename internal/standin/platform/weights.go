package platform

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/julienschmidt/httprouter"
)

// zeros is the content of downloaded weights.
var zeros [1 << 20]byte

// weights sends a version's weights at the rate of the weight store. A fault during the
// download breaks the connection; the client detects it by the Content-Length.
func (s *Server) weights(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	version := strings.TrimPrefix(params.ByName("version"), "/")
	download, err := s.state.Weights(r.Context(), version)
	if err != nil {
		respondError(w, err)
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
