package api

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/request"
)

func (s *Server) chat(w http.ResponseWriter, r *http.Request, _ httprouter.Params, id identity) {
	call, stream, fail := chatCall(w, r, id)
	if fail != nil {
		s.refuse(w, refusalOf(call, true), fail)
		return
	}
	if stream {
		s.chatStream(w, r, call)
		return
	}
	s.chatWhole(w, r, call)
}

func chatCall(w http.ResponseWriter, r *http.Request, id identity) (ChatCall, bool, *request.Failure) {
	call := ChatCall{Org: id.org, Snapshot: id.snapshot, Class: r.Header.Get(headerClass)}
	body, fail := readBody(w, r)
	if fail != nil {
		return call, false, fail
	}
	stream, fail := call.decode(body)
	if fail != nil {
		return call, false, fail
	}
	if call.Key, fail = keyOf(r); fail != nil {
		return call, false, fail
	}
	if call.Timeout, fail = timeoutOf(r); fail != nil {
		return call, false, fail
	}
	call.Session = r.Header.Get(headerSession)
	call.WantSession = r.Header.Get(headerWantSession) != ""
	return call, stream, nil
}

func refusalOf(call ChatCall, atDoor bool) Refusal {
	return Refusal{Org: call.Org, Snapshot: call.Snapshot, Class: call.Class, Model: call.Model, AtDoor: atDoor}
}

func (s *Server) chatWhole(w http.ResponseWriter, r *http.Request, call ChatCall) {
	sink := new(wholeSink)
	answer, err := s.router.Chat(r.Context(), call, sink)
	if err != nil {
		s.refuse(w, refusalOf(call, false), asFailure(err))
		return
	}
	sink.setHeaders(w.Header(), answer)
	writeJSON(w, http.StatusOK, sink.completion(answer))
}

func (s *Server) chatStream(w http.ResponseWriter, r *http.Request, call ChatCall) {
	sink := newStreamSink(w)
	sink.usageApart = call.UsageApart
	answer, err := s.router.Chat(r.Context(), call, sink)
	if err != nil {
		s.fail(sink, refusalOf(call, false), asFailure(err))
		return
	}
	sink.finish(answer)
}
