package scenario

import "sync/atomic"

// order is one call that a scenario makes.
type order struct {
	entry string // process
	addr  string // IP and port
	org   string
	key   string // idempotency key, or empty
	class string

	timeoutMS string
	session   string // token of an earlier answer
	start     bool   // begin a session

	// chat requests
	model  string
	text   string
	stream bool

	// calls of a plain service
	service string
	method  string
	path    string
	body    string

	// began is what came of a stream before, when this order reads on.
	began *result
	// progress gets the number of each piece that comes, if set.
	progress *atomic.Int64
}

// readsOn says that the order reads the rest of a stream.
func (o order) readsOn() bool { return o.began != nil }

func (o order) chat() bool { return o.service == "" }
