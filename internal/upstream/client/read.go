package client

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// maxAnswer bounds an answer that is read as a whole, in bytes.
const maxAnswer = 16 << 20

// readWhole reads and closes the answer's body. A longer one than maxAnswer is
// a failure: a cut answer must not pass for a whole one.
func readWhole(addr string, res *http.Response) ([]byte, *upstream.Error) {
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	if err != nil {
		return nil, fail(addr, upstream.MaybeRun, eris.Wrap(err, "answer"))
	}
	if len(data) > maxAnswer {
		return nil, fail(addr, upstream.MaybeRun, eris.Errorf("answer is longer than %d bytes", maxAnswer))
	}
	return data, nil
}
