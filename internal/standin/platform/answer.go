package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
)

const contentJSON = "application/json"

// respond answers with a message as JSON, or with the error.
func respond(w http.ResponseWriter, message any, err error) {
	if err != nil {
		respondError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, message)
}

// respondEmpty answers a call that returns no data, or with the error.
func respondEmpty(w http.ResponseWriter, err error) {
	if err != nil {
		respondError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// respondError answers with the refusal in err. Any other error means a lost answer:
// the connection is closed without sending a byte.
func respondError(w http.ResponseWriter, err error) {
	var refusal *wire.Refusal
	if !errors.As(err, &refusal) {
		panic(http.ErrAbortHandler)
	}
	writeRefusal(w, refusal)
}

// writeRefusal answers with a refusal, its status and its Retry-After header.
func writeRefusal(w http.ResponseWriter, r *wire.Refusal) {
	if wait := r.RetryAfter(); wait > 0 {
		w.Header().Set("Retry-After", retrySeconds(wait))
	}
	writeJSON(w, statusOf(r.Reason), r)
}

// retrySeconds formats a Retry-After header. It rounds up, because the header has
// whole seconds only.
func retrySeconds(wait time.Duration) string {
	seconds := (wait + time.Second - 1) / time.Second
	return strconv.FormatInt(int64(seconds), 10)
}

// statusOf returns the HTTP status of a refusal.
func statusOf(reason wire.Reason) int {
	switch reason {
	case wire.RateLimited:
		return http.StatusTooManyRequests
	case wire.Unavailable:
		return http.StatusServiceUnavailable
	case wire.Absent:
		return http.StatusNotFound
	default:
		return http.StatusBadRequest
	}
}

// respondConditional answers with a message and its entity tag, or with status 304 if
// the request's If-None-Match has the same tag.
func respondConditional(w http.ResponseWriter, r *http.Request, message any) {
	body := encode(message)
	tag := fmt.Sprintf("\"%016x\"", xxhash.Sum64(body))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeBody(w, http.StatusOK, body)
}

func writeJSON(w http.ResponseWriter, status int, message any) {
	writeBody(w, status, encode(message))
}

func encode(message any) []byte {
	body, err := json.Marshal(message)
	if err != nil {
		panic("stand-in platform: message cannot be encoded: " + err.Error())
	}
	return body
}

func writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", contentJSON)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
