package platform

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
)

// routes returns the handler of the platform's interface.
func (s *Server) routes() http.Handler {
	router := newRouter()
	router.POST(wire.PathGet, s.tableGet)
	router.POST(wire.PathScan, s.tableScan)
	router.POST(wire.PathCommit, s.tableCommit)
	router.PUT(wire.PathObjects, s.objectPut)
	router.GET(wire.PathObjects, s.objectGet)
	router.GET(wire.PathObjectKeys, s.objectKeys)
	router.GET(wire.PathVMs, s.vmList)
	router.POST(wire.PathVMs, s.vmRegister)
	router.DELETE(wire.PathVMs+"/:id", s.vmRemove)
	router.POST(wire.PathVMs+"/:id/leave", s.vmLeave)
	router.POST(wire.PathRate, s.rate)
	router.GET(wire.PathWeights+"/*version", s.weights)
	return router
}

// newRouter returns a router that answers unknown paths and methods with a refusal,
// because such calls have no effect.
func newRouter() *httprouter.Router {
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeRefusal(w, &wire.Refusal{Reason: wire.Absent, Detail: "no such path: " + r.URL.Path})
	})
	router.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeRefusal(w, &wire.Refusal{Reason: wire.Invalid, Detail: "method not allowed: " + r.Method})
	})
	return router
}
