package api

import (
	"net/http"
	"strings"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

var serviceMethods = []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

func (s *Server) service(w http.ResponseWriter, r *http.Request, p httprouter.Params, id identity) {
	call, fail := serviceCall(w, r, p, id)
	if fail != nil {
		s.refuse(w, Refusal{Org: id.org, Snapshot: id.snapshot, Class: classOfCall(call), AtDoor: true}, fail)
		return
	}
	answer, err := s.router.Service(r.Context(), call)
	if err != nil {
		s.refuse(w, Refusal{Org: id.org, Snapshot: id.snapshot, Class: classOfCall(call)}, asFailure(err))
		return
	}
	copyHeader(w.Header(), answer.Header)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body) // the caller may have gone; nothing is left to do
}

// hopHeaders belong to one connection or are set anew here.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Date": true,
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !hopHeaders[name] {
			to[name] = values
		}
	}
}

func serviceCall(w http.ResponseWriter, r *http.Request, p httprouter.Params, id identity) (ServiceCall, *request.Failure) {
	path := p.ByName("path")
	service, declared, fail := declaredCall(id, p.ByName("service"), r.Method, path)
	if fail != nil {
		return ServiceCall{}, fail
	}
	call := ServiceCall{Org: id.org, Snapshot: id.snapshot, Service: service, Call: declared}
	if call.Key, fail = keyOf(r); fail != nil {
		return call, fail
	}
	if call.Timeout, fail = timeoutOf(r); fail != nil {
		return call, fail
	}
	body, fail := readBody(w, r)
	if fail != nil {
		return call, fail
	}
	call.Request = upstream.ServiceCall{
		Method: r.Method, Path: path, RawQuery: r.URL.RawQuery,
		ContentType: r.Header.Get("Content-Type"), Body: body,
	}
	return call, nil
}

// classOfCall is empty for a call that was not found to be a declared one.
func classOfCall(call ServiceCall) string {
	if call.Call == nil {
		return ""
	}
	return call.Call.Class
}

func declaredCall(id identity, name, method, path string) (*config.Service, *config.Call, *request.Failure) {
	if hasDots(path) {
		return nil, nil, bad("the path must not hold . or .. segments")
	}
	service := id.snapshot.Service(name)
	if service == nil || !mayCall(id.org, name) {
		return nil, nil, request.Refuse(request.CodeUnknownModel, 0, "there is no service "+name+" for this organisation")
	}
	declared := service.Call(method, path)
	if declared == nil {
		return nil, nil, badFor(request.ReasonUndeclared, "service "+name+" declares no call "+method+" "+path)
	}
	return service, declared, nil
}

// hasDots says that the path leads elsewhere than it reads: "/receipts/../x"
// would match the call declared for "/receipts/" and reach "/x".
func hasDots(path string) bool {
	for _, segment := range strings.Split(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

func mayCall(org *config.Organisation, service string) bool {
	for _, name := range org.Services {
		if name == service {
			return true
		}
	}
	return false
}
