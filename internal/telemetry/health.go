package telemetry

import (
	"io"
	"net/http"
	"strings"
)

// Healthz answers that the process lives and serves.
func Healthz() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { plainText(w, http.StatusOK, "ok") })
}

// Readyz answers whether new work is taken. The check returns why not, one
// reason an entry, or none.
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
	_, _ = io.WriteString(w, text+"\n") // the reader may have gone
}
