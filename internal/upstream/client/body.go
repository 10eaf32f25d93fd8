package client

import (
	"bytes"
	"io"
)

// onceBody is a request body of known length that the transport cannot rewind.
//
// It guards against a silent second sending: net/http repeats a request on a
// new connection when a reused one breaks before the answer, if the request
// has GetBody or no body. The upstream may have run the first sending by then.
// A type that http.NewRequest does not know gets no GetBody.
type onceBody struct{ r *bytes.Reader }

func newOnceBody(b []byte) io.ReadCloser { return &onceBody{r: bytes.NewReader(b)} }

func (b *onceBody) Read(p []byte) (int, error) { return b.r.Read(p) }

func (b *onceBody) Close() error { return nil }
