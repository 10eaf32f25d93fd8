package client

import (
	"context"
	"io"
	"time"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

const (
	// drainBytes is the maximum number of bytes that are read after the last chunk.
	drainBytes = 4 << 10
	// drainTimeout is the time limit for reading them.
	drainTimeout = 100 * time.Millisecond
)

// stream implements [upstream.Stream]. It returns chunks as received; the caller checks
// that they belong to its attempt.
type stream struct {
	addr    string
	body    io.ReadCloser
	cancel  context.CancelFunc
	decoder *decoder
	done    bool
}

func newStream(addr string, body io.ReadCloser, cancel context.CancelFunc) *stream {
	return &stream{addr: addr, body: body, cancel: cancel, decoder: newDecoder(body)}
}

// Next implements [upstream.Stream]. After the last chunk it returns io.EOF. A stream
// that ends without a last chunk gives an error.
func (s *stream) Next() (upstream.Chunk, error) {
	if s.done {
		return upstream.Chunk{}, io.EOF
	}
	c, err := s.decoder.next()
	if err != nil {
		return upstream.Chunk{}, newError(s.addr, upstream.MaybeRun, err)
	}
	s.done = c.Done
	return c, nil
}

// Ready implements [upstream.Stream].
func (s *stream) Ready() bool { return s.done || s.decoder.ready() }

// Close implements [upstream.Stream]. After a complete answer it reads the end of the
// body, so that the connection returns to the pool. If the engine does not send the end
// within drainTimeout, the connection is closed.
func (s *stream) Close() error {
	if s.done {
		timer := time.AfterFunc(drainTimeout, s.cancel)
		_, _ = io.CopyN(io.Discard, s.body, drainBytes)
		timer.Stop()
	}
	err := s.body.Close()
	s.cancel()
	return err
}
