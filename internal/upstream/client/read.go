package client

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// maxResponseBytes is the maximum size of a response that is not streamed, in bytes.
const maxResponseBytes = 4 << 20

// maxHeaderBytes is the maximum size of a response's header, in bytes.
const maxHeaderBytes = 32 << 10

// readBody reads and closes the body of a response. It returns an error if the body is
// longer than maxResponseBytes, so that a truncated body is not taken for a complete
// one.
func readBody(addr string, res *http.Response) ([]byte, *upstream.Error) {
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return nil, newError(addr, upstream.MaybeRun, eris.Wrap(err, "answer"))
	}
	if len(data) > maxResponseBytes {
		return nil, newError(addr, upstream.MaybeRun, eris.Errorf("answer is longer than %d bytes", maxResponseBytes))
	}
	return data, nil
}
