package admin

import (
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"
)

// Headers of changes.
const (
	// HeaderRevision carries the revision that a change is made from, in the form of an answer's
	// ETag.
	HeaderRevision = "If-Match"
	// HeaderChangeID carries the change's id; retries carry the same id.
	HeaderChangeID = "Idempotency-Key"
	// HeaderReplayed is "true" in the answer to a change that had been accepted before.
	HeaderReplayed = "Idempotency-Replayed"
)

// maxChangeID is the longest id of a change, in bytes.
const maxChangeID = 128

// ETag returns the ETag of a revision.
func ETag(revision uint64) string { return strconv.Quote(strconv.FormatUint(revision, 10)) }

func setETag(w http.ResponseWriter, revision uint64) { w.Header().Set("ETag", ETag(revision)) }

// baseRevision reads If-Match. It accepts exactly one revision: with "*" a change could overwrite a
// revision that its author has not seen.
func baseRevision(r *http.Request) (uint64, *Failure) {
	text := strings.TrimSpace(r.Header.Get(HeaderRevision))
	if text == "" {
		return 0, newFailure(http.StatusPreconditionRequired, CodeNoRevision, "%s: the revision that the change was made from is needed, for example %s", HeaderRevision, ETag(7))
	}
	if len(text) >= 2 && text[0] == '"' && text[len(text)-1] == '"' {
		text = text[1 : len(text)-1]
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, badRequest("%s: must be one revision, for example %s", HeaderRevision, ETag(7))
	}
	return revision, nil
}

// changeID reads Idempotency-Key, or generates an id if there is none.
func changeID(r *http.Request) (string, *Failure) {
	id := r.Header.Get(HeaderChangeID)
	if id == "" {
		return uuid.NewString(), nil
	}
	if !validChangeID(id) {
		return "", badRequest("%s: accepted are 1 to %d printable ASCII characters without space and slash", HeaderChangeID, maxChangeID)
	}
	return id, nil
}

func validChangeID(id string) bool {
	if id == "" || len(id) > maxChangeID {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' || id[i] == '/' {
			return false
		}
	}
	return true
}

func bodyFailure(err error) *Failure {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return newFailure(http.StatusRequestEntityTooLarge, CodeTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	return badRequest("the body could not be read: %v", err)
}
