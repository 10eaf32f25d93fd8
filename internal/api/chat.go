package api

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/request"
)

func (s *Server) chat(w http.ResponseWriter, r *http.Request, _ httprouter.Params, id identity) {
	call, stream, fail := chatCall(w, r, id)
	if fail != nil {
		writeFailure(w, fail)
		return
	}
	if stream {
		s.chatStream(w, r, call)
		return
	}
	s.chatWhole(w, r, call)
}

func chatCall(w http.ResponseWriter, r *http.Request, id identity) (ChatCall, bool, *request.Failure) {
	body, fail := readBody(w, r)
	if fail != nil {
		return ChatCall{}, false, fail
	}
	call, stream, fail := decodeChat(body)
	if fail != nil {
		return ChatCall{}, false, fail
	}
	if call.Key, fail = keyOf(r); fail != nil {
		return ChatCall{}, false, fail
	}
	if call.Timeout, fail = timeoutOf(r); fail != nil {
		return ChatCall{}, false, fail
	}
	call.Org = id.org
	call.Snapshot = id.snapshot
	call.Class = r.Header.Get(headerClass)
	call.Session = r.Header.Get(headerSession)
	call.WantSession = r.Header.Get(headerWantSession) != ""
	return call, stream, nil
}

func (s *Server) chatWhole(w http.ResponseWriter, r *http.Request, call ChatCall) {
	sink := new(wholeSink)
	answer, err := s.router.Chat(r.Context(), call, sink)
	if err != nil {
		writeFailure(w, asFailure(err))
		return
	}
	sink.setHeaders(w.Header(), answer)
	writeJSON(w, http.StatusOK, sink.completion(answer))
}

func (s *Server) chatStream(w http.ResponseWriter, r *http.Request, call ChatCall) {
	sink := newStreamSink(w)
	answer, err := s.router.Chat(r.Context(), call, sink)
	if err != nil {
		sink.fail(asFailure(err))
		return
	}
	sink.finish(answer)
}
