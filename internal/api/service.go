package api

import (
	"net/http"
	"strings"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// serviceMethods are the HTTP methods that calls of plain services may use.
var serviceMethods = []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

// service handles a call of a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request, p httprouter.Params, id identity) {
	call, failure := readServiceCall(w, r, p, id)
	if failure != nil {
		s.refuse(w, Refusal{Org: id.org, Snapshot: id.snapshot, Class: classOfCall(call), BeforeRouter: true}, failure)
		return
	}
	answer, err := s.router.Service(r.Context(), call)
	if err != nil {
		s.refuse(w, Refusal{Org: id.org, Snapshot: id.snapshot, Class: classOfCall(call)}, asFailure(err))
		return
	}
	copyHeader(w.Header(), answer.Header)
	writeWhole(w, answer.Status, answer.Body)
}

// droppedHeaders are the headers of a service's response that are not passed on: they
// apply to one connection only, or the server sets them itself.
var droppedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Date": true,
}

// copyHeader copies all headers except droppedHeaders.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !droppedHeaders[name] {
			to[name] = values
		}
	}
}

// readServiceCall reads and validates a call of a plain service. On a failure, the call
// has the fields that were set before it.
func readServiceCall(w http.ResponseWriter, r *http.Request, p httprouter.Params, id identity) (ServiceCall, *request.Failure) {
	path := p.ByName("path")
	service, declaration, failure := findDeclaration(id, p.ByName("service"), r.Method, path)
	if failure != nil {
		return ServiceCall{}, failure
	}
	call := ServiceCall{Org: id.org, Snapshot: id.snapshot, Service: service, Call: declaration}
	if call.Key, failure = idempotencyKey(r); failure != nil {
		return call, failure
	}
	if call.Timeout, failure = requestTimeout(r); failure != nil {
		return call, failure
	}
	body, failure := readBody(w, r)
	if failure != nil {
		return call, failure
	}
	call.Request = upstream.ServiceCall{
		Method: r.Method, Path: path, RawQuery: r.URL.RawQuery,
		ContentType: r.Header.Get("Content-Type"), Body: body,
	}
	return call, nil
}

// classOfCall returns the class of a call; empty if no declaration was found.
func classOfCall(call ServiceCall) string {
	if call.Call == nil {
		return ""
	}
	return call.Call.Class
}

// findDeclaration returns the service and the declaration of a call. It fails if the
// service is unknown, the organisation may not use it or the service does not declare the
// call.
func findDeclaration(id identity, name, method, path string) (*config.Service, *config.Call, *request.Failure) {
	if hasDotSegment(path) {
		return nil, nil, malformed("the path must not hold . or .. segments")
	}
	service := id.snapshot.Service(name)
	if service == nil || !mayUseService(id.org, name) {
		return nil, nil, request.Refuse(request.CodeUnknownModel, 0, "there is no service "+name+" for this organisation")
	}
	declaration := service.Call(method, path)
	if declaration == nil {
		return nil, nil, badRequest(request.ReasonUndeclared, "service "+name+" declares no call "+method+" "+path)
	}
	return service, declaration, nil
}

// hasDotSegment reports whether the path has a segment "." or "..". Otherwise
// "/receipts/../x" would match the call declared for "/receipts/" and reach "/x".
func hasDotSegment(path string) bool {
	for _, segment := range strings.Split(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// mayUseService reports whether the organisation may use the service.
func mayUseService(org *config.Organisation, service string) bool {
	for _, name := range org.Services {
		if name == service {
			return true
		}
	}
	return false
}
