package api

import (
	"net/http"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/request"
)

// Refusal is a request that was refused and not run. Its names are the
// caller's, as far as they were read.
type Refusal struct {
	// Org is nil when the caller is not known.
	Org *config.Organisation
	// Snapshot is nil when no configuration is in force.
	Snapshot *config.Snapshot
	Class    string
	Model    string
	// AtDoor says that nothing of it reached the router.
	AtDoor bool
	Code   request.Code
	Reason request.Reason
}

// refuse counts a failure, if nothing ran, and tells the caller.
func (s *Server) refuse(w http.ResponseWriter, r Refusal, f *request.Failure) {
	s.count(r, f)
	writeFailure(w, f)
}

// fail is refuse for a stream, which may have begun.
func (s *Server) fail(sink *streamSink, r Refusal, f *request.Failure) {
	s.count(r, f)
	sink.fail(f)
}

func (s *Server) count(r Refusal, f *request.Failure) {
	if f.Outcome != request.NotRun {
		return
	}
	r.Code = f.Code
	r.Reason = f.ReasonOrCode()
	s.router.Refused(r)
}
