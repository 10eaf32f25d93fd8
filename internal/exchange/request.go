package exchange

import "time"

// Field is a header field. Fields are sent in the given order and spelling.
type Field struct{ Name, Value string }

// Request is one attempt to send a caller's request to an upstream.
type Request struct {
	Method string
	// Target is the raw path and query of the request line.
	Target string
	// Host is the value of the Host header.
	Host string
	// Fields are the header fields apart from Host and Content-Length.
	Fields []Field
	Body   []byte
	// HasBody distinguishes an empty body from no body.
	HasBody bool
	// IDField is the header field that upstreams echo, and ID its value. A response
	// with another ID belongs to another request. An empty IDField disables the check.
	IDField string
	ID      string
	// LinkLost is called while the exchange waits over a lost link, again and again and beside it. It
	// reports whether [Pool.AbortSilent] may end the exchange; nil never allows it.
	LinkLost func() bool
	// MaxIdle bounds how long a reused connection may have been idle; 0 for the pool's
	// own bound. A request on a connection that its upstream has silently dropped is
	// lost, and cannot be resent where it is not idempotent.
	MaxIdle time.Duration
	// ShouldSend is called once there is a connection and reports whether to send the request;
	// false fails the exchange with Withdrawn. Nil always sends.
	ShouldSend func() bool
}
