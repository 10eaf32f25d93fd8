package exchange

import "time"

// Field is one header field, in the order and spelling in which it is sent.
type Field struct{ Name, Value string }

// Request is one attempt.
type Request struct {
	Method string
	// Target is the raw path and query.
	Target string
	Host   string
	Fields []Field
	Body   []byte
	// HasBody tells a body of no bytes from no body.
	HasBody bool
	// IDField and ID name the header that upstreams echo and its value: an
	// answer with another ID belongs to another request.
	IDField string
	ID      string
	// MaxIdle bounds how long a kept connection may have been idle to carry
	// this request; 0 for the pool's own bound. A connection that its upstream
	// has dropped in silence loses what is sent on it, which cannot be sent
	// again where the work is not idempotent.
	MaxIdle time.Duration
	// Stands tells, once there is a connection, whether the request is still to be sent; nil
	// where it is.
	Stands func() bool
}
