package host

import (
	"encoding/json"
	"io"
	"net/http"
)

const (
	// NotRunHeader is the header of an answer by which the upstream guarantees that it
	// did not run the request.
	NotRunHeader = "X-Not-Run"
	// MaxBody bounds the body of a request, in bytes.
	MaxBody = 16 << 20
)

// Decline answers a request that has not run and will not run, with [NotRunHeader] and
// the reason as the body.
func Decline(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(NotRunHeader, "1")
	http.Error(w, reason, status)
}

// WriteJSON answers with v as JSON. It ignores write errors.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}

// Decode decodes one JSON value of at most [MaxBody] bytes into v. Fields of v that
// are not in the value keep their contents. Unknown fields are an error.
func Decode(r io.Reader, v any) error {
	dec := json.NewDecoder(io.LimitReader(r, MaxBody))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}

// ReadBody reads the body of a request. It returns an error for a body longer than
// [MaxBody].
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
}
