package client

import (
	"bytes"
	"io"
)

// onceBody is a request body that the transport cannot rewind.
//
// It guards against a silent second sending: net/http repeats a request on a
// new connection when a reused one breaks before the answer, if the request
// has no body or GetBody, and is a GET or bears an Idempotency-Key. The
// upstream may have run the first sending by then. A body of a type that
// net/http does not know has no GetBody, so an empty one counts as a body too.
type onceBody struct{ r bytes.Reader }

func newOnceBody(b []byte) io.ReadCloser {
	var body onceBody
	body.r.Reset(b)
	return &body
}

// Read returns the next bytes of the body.
func (b *onceBody) Read(p []byte) (int, error) { return b.r.Read(p) }

// Close does nothing.
func (b *onceBody) Close() error { return nil }
