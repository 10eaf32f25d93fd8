package client

import (
	"bytes"
	"io"
)

// onceBody is a request body that the transport cannot rewind.
//
// It prevents net/http from resending a request without notice. If a reused connection
// breaks before the response, net/http resends a request that has no body or has
// GetBody, and that is a GET or has an Idempotency-Key. The upstream may already have
// run the first one. For a body of a type that net/http does not know, GetBody is not
// set, and even an empty one counts as a body.
type onceBody struct{ r bytes.Reader }

func newOnceBody(b []byte) io.ReadCloser {
	var body onceBody
	body.r.Reset(b)
	return &body
}

// Read implements [io.Reader].
func (b *onceBody) Read(p []byte) (int, error) { return b.r.Read(p) }

// Close implements [io.Closer].
func (b *onceBody) Close() error { return nil }
