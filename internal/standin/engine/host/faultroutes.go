package host

import (
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"
)

// FaultPort connects the routes of a fault port to a stand-in upstream. All functions
// must be set; results are encoded as JSON.
type FaultPort struct {
	// Faults returns the current faults.
	Faults func() any
	// Change applies the faults in a JSON body and leaves the others unchanged. An
	// error means an invalid body and is answered with status 400.
	Change func(body []byte) error
	// Runs returns a page of the runs, from the run numbered after.
	Runs func(after int) any
	// Counts returns the counters since the start of the stand-in.
	Counts func() any
}

// Routes returns a router with the routes of the port. A stand-in may add routes.
func (p FaultPort) Routes() *httprouter.Router {
	r := httprouter.New()
	r.GET("/faults", ServeJSON(p.Faults))
	r.POST("/faults", p.postFaults)
	r.GET("/runs", p.getRuns)
	r.GET("/counts", ServeJSON(p.Counts))
	return r
}

// ServeJSON returns a handler that answers with the function's result as JSON.
func ServeJSON(value func() any) httprouter.Handle {
	return func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { WriteJSON(w, value()) }
}

func (p FaultPort) postFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := ReadBody(w, r)
	if err == nil {
		err = p.Change(body)
	}
	if err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	WriteJSON(w, p.Faults())
}

func (p FaultPort) getRuns(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	after := 0
	if text := r.URL.Query().Get("after"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			http.Error(w, "after is no run number", http.StatusBadRequest)
			return
		}
		after = n
	}
	WriteJSON(w, p.Runs(after))
}
