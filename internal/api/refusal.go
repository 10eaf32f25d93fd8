package api

import (
	"net/http"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/request"
)

// Refusal describes a request that was refused and not run.
type Refusal struct {
	// Org is nil if the caller is unknown.
	Org *config.Organisation
	// Snapshot is nil if no configuration is in force.
	Snapshot *config.Snapshot
	// Class is the class from the header of the request, or of the called service; empty
	// if it was not read.
	Class string
	// Model is the model from the request; empty if it was not read.
	Model string
	// BeforeRouter is set if the request was refused before it reached the router.
	BeforeRouter bool
	Code         request.Code
	Reason       request.Reason
}

// refuse sends a failure to the caller, and counts it if the request did not run.
func (s *Server) refuse(w http.ResponseWriter, r Refusal, f *request.Failure) {
	s.count(r, f)
	writeFailure(w, f)
}

// fail is like refuse, for a stream that may have started.
func (s *Server) fail(sink *streamSink, r Refusal, f *request.Failure) {
	s.count(r, f)
	sink.fail(f)
}

// count passes the refusal to the router if the request did not run.
func (s *Server) count(r Refusal, f *request.Failure) {
	if f.Outcome != request.NotRun {
		return
	}
	r.Code = f.Code
	r.Reason = f.ReasonOrCode()
	s.router.CountRefusal(r)
}
