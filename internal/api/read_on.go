package api

import (
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/request"
)

const (
	headerLastEvent = "Last-Event-ID"
	queryAfter      = "after"
)

// resume sends the rest of a stream whose connection broke. Any entry node can do so,
// since the token identifies where the stream runs.
func (s *Server) resume(w http.ResponseWriter, r *http.Request, p httprouter.Params, id identity) {
	after, failure := resumeAfter(r)
	if failure != nil {
		s.refuse(w, Refusal{Org: id.org, Snapshot: id.snapshot, BeforeRouter: true}, failure)
		return
	}
	sink := newStreamSink(w)
	answer, err := s.router.ResumeStream(r.Context(), ResumeCall{Org: id.org, Token: p.ByName("token"), After: after}, sink)
	if err != nil {
		s.fail(sink, Refusal{Org: id.org, Snapshot: id.snapshot}, asFailure(err))
		return
	}
	sink.finish(answer)
}

// resumeAfter returns the number of the last chunk that the caller has received, from the
// query or from the header that event-stream libraries send; 0 if both are missing.
func resumeAfter(r *http.Request) (int, *request.Failure) {
	text := r.URL.Query().Get(queryAfter)
	if text == "" {
		text = r.Header.Get(headerLastEvent)
	}
	if text == "" {
		return 0, nil
	}
	after, err := strconv.Atoi(text)
	if err != nil || after < 0 {
		return 0, malformed("after: must be the number of the last event that came, from 0")
	}
	return after, nil
}
