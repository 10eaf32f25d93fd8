package api

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// writeJSON sends v as a JSON response.
func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types of this package can always be encoded
	}
	w.Header().Set("Content-Type", "application/json")
	writeWhole(w, status, append(data, '\n'))
}

// writeWhole sends a response with its length. Without one it would end with its connection for a
// caller that speaks HTTP/1.0, and would look complete when it is broken off.
func writeWhole(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // the caller may have disconnected
}
