package host

import (
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"
)

// FaultPort is what a stand-in upstream tells and takes at its fault port.
type FaultPort struct {
	// Faults are the present ones.
	Faults func() any
	// Change puts into effect the faults that a JSON body names; the others
	// stay. An error is the caller's fault.
	Change func(body []byte) error
	// Runs are those from a number on.
	Runs func(after int) any
	// Counts is what the stand-in has done so far.
	Counts func() any
}

// Routes is the router of the port; a stand-in may add its own.
func (p FaultPort) Routes() *httprouter.Router {
	r := httprouter.New()
	r.GET("/faults", Tell(p.Faults))
	r.POST("/faults", p.postFaults)
	r.GET("/runs", p.getRuns)
	r.GET("/counts", Tell(p.Counts))
	return r
}

// Tell answers with what the function returns.
func Tell(what func() any) httprouter.Handle {
	return func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { WriteJSON(w, what()) }
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
