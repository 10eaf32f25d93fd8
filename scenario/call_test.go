package scenario

import "sync/atomic"

// call is one request that a scenario makes.
type call struct {
	entry string // process
	addr  string // IP:PORT
	org   string
	key   string // idempotency key, or empty
	class string

	timeoutMS string
	session   string // session token from an earlier answer
	start     bool   // start a session

	// chat requests
	model  string
	text   string
	stream bool

	// plain service calls
	service string
	method  string
	path    string
	body    string

	// resumeFrom is the result of the interrupted stream that this call resumes, or nil.
	resumeFrom *result
	// progress receives the number of each piece that arrives, if set.
	progress *atomic.Int64
}

// resumes reports whether the call resumes an interrupted stream.
func (o call) resumes() bool { return o.resumeFrom != nil }

func (o call) chat() bool { return o.service == "" }
