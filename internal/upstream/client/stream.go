package client

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

var dataField = []byte("data:")

// stream reads an engine's answer. Pieces are returned as they came: the
// caller matches them to its attempt.
type stream struct {
	addr string
	body io.ReadCloser
	scan *bufio.Scanner
	done bool
}

func newStream(addr string, body io.ReadCloser) *stream {
	scan := bufio.NewScanner(body)
	scan.Buffer(make([]byte, 0, 4096), maxEvent)
	return &stream{addr: addr, body: body, scan: scan}
}

// Next returns the next piece; io.EOF follows the last one. A stream that ends
// without its last piece is an error.
func (s *stream) Next() (upstream.Chunk, error) {
	if s.done {
		return upstream.Chunk{}, io.EOF
	}
	for s.scan.Scan() {
		data, ok := bytes.CutPrefix(s.scan.Bytes(), dataField)
		if !ok {
			continue
		}
		var c upstream.Chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return upstream.Chunk{}, fail(s.addr, upstream.MaybeRun, eris.Wrap(err, "piece"))
		}
		s.done = c.Done
		return c, nil
	}
	err := s.scan.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return upstream.Chunk{}, fail(s.addr, upstream.MaybeRun, eris.Wrap(err, "stream"))
}

// Close releases the connection; it does not cancel the attempt.
func (s *stream) Close() error { return s.body.Close() }
