package api

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/request"
)

// chat handles a chat completion request.
func (s *Server) chat(w http.ResponseWriter, r *http.Request, _ httprouter.Params, id identity) {
	call, stream, failure := readChatCall(w, r, id)
	if failure != nil {
		s.refuse(w, newRefusal(call, true), failure)
		return
	}
	if stream {
		s.chatStream(w, r, call)
		return
	}
	s.chatBuffered(w, r, call)
}

// readChatCall reads and validates a chat request. stream is set if the answer is to be
// streamed. On a failure, the call has the fields that were read before it.
func readChatCall(w http.ResponseWriter, r *http.Request, id identity) (ChatCall, bool, *request.Failure) {
	call := ChatCall{Org: id.org, Snapshot: id.snapshot, Class: r.Header.Get(headerClass)}
	body, failure := readBody(w, r)
	if failure != nil {
		return call, false, failure
	}
	stream, failure := call.decode(body)
	if failure != nil {
		return call, false, failure
	}
	if call.Key, failure = idempotencyKey(r); failure != nil {
		return call, false, failure
	}
	if call.Timeout, failure = requestTimeout(r); failure != nil {
		return call, false, failure
	}
	call.Session = r.Header.Get(headerSession)
	call.WantSession = r.Header.Get(headerWantSession) != ""
	return call, stream, nil
}

// newRefusal returns the refusal of a chat request, without its code and reason.
func newRefusal(call ChatCall, beforeRouter bool) Refusal {
	return Refusal{Org: call.Org, Snapshot: call.Snapshot, Class: call.Class, Model: call.Model, BeforeRouter: beforeRouter}
}

// chatBuffered runs a chat request and sends the answer in one response.
func (s *Server) chatBuffered(w http.ResponseWriter, r *http.Request, call ChatCall) {
	sink := new(bufferedSink)
	answer, err := s.router.Chat(r.Context(), call, sink)
	if err != nil {
		s.refuse(w, newRefusal(call, false), asFailure(err))
		return
	}
	sink.setHeaders(w.Header(), answer)
	writeJSON(w, http.StatusOK, sink.completion(answer))
}

// chatStream runs a chat request and streams the answer.
func (s *Server) chatStream(w http.ResponseWriter, r *http.Request, call ChatCall) {
	sink := newStreamSink(w)
	sink.separateUsage = call.SeparateUsage
	answer, err := s.router.Chat(r.Context(), call, sink)
	if err != nil {
		s.fail(sink, newRefusal(call, false), asFailure(err))
		return
	}
	sink.finish(answer)
}
