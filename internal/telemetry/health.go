package telemetry

import (
	"io"
	"net/http"
	"strings"
)

// Healthz returns the liveness handler: it answers 200 while the process serves HTTP.
func Healthz() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { plainText(w, http.StatusOK, "ok") })
}

// Readyz returns the readiness handler: 200 when check returns no reasons, else 503
// with one reason a line. Each entry says why the node accepts no new work.
func Readyz(check func() []string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if reasons := check(); len(reasons) > 0 {
			plainText(w, http.StatusServiceUnavailable, strings.Join(reasons, "\n"))
			return
		}
		plainText(w, http.StatusOK, "ready")
	})
}

func plainText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+"\n") // the client may have disconnected
}
