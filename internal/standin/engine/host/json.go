package host

import (
	"encoding/json"
	"io"
	"net/http"
)

const (
	// NotRunHeader says that the upstream's contract is that it did not run
	// the request that it answers.
	NotRunHeader = "X-Not-Run"
	// MaxBody bounds the body of a request, in bytes.
	MaxBody = 16 << 20
)

// Decline answers a request that is certain not to run.
func Decline(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(NotRunHeader, "1")
	http.Error(w, reason, status)
}

// WriteJSON answers with v.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have gone; nothing is left to do
}

// Decode reads one JSON value over v, whose other fields stay as they are.
// Unknown fields are an error.
func Decode(r io.Reader, v any) error {
	dec := json.NewDecoder(io.LimitReader(r, MaxBody))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}

// ReadBody reads the whole body of a request.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
}
