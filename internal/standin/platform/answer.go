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

// answer writes a message, or what the error says.
func answer(w http.ResponseWriter, message any, err error) {
	if err != nil {
		fail(w, err)
		return
	}
	writeJSON(w, http.StatusOK, message)
}

// done answers a call that returns nothing.
func done(w http.ResponseWriter, err error) {
	if err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// fail answers with a refusal; without one the answer is lost, and the
// connection is closed with no byte of it.
func fail(w http.ResponseWriter, err error) {
	var refusal *wire.Refusal
	if !errors.As(err, &refusal) {
		panic(http.ErrAbortHandler)
	}
	refuse(w, refusal)
}

func refuse(w http.ResponseWriter, r *wire.Refusal) {
	if wait := r.RetryAfter(); wait > 0 {
		w.Header().Set("Retry-After", retrySeconds(wait))
	}
	writeJSON(w, statusOf(r.Reason), r)
}

// retrySeconds rounds up, as the header knows only whole seconds.
func retrySeconds(wait time.Duration) string {
	seconds := (wait + time.Second - 1) / time.Second
	return strconv.FormatInt(int64(seconds), 10)
}

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

// answerUnless writes a message with its entity tag, or only that the caller has
// it already.
func answerUnless(w http.ResponseWriter, r *http.Request, message any) {
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
