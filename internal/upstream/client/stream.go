package client

import (
	"context"
	"io"
	"time"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

const (
	// drainLimit bounds what is read after the last piece, in bytes.
	drainLimit = 4 << 10
	// drainTime bounds how long that may take.
	drainTime = 100 * time.Millisecond
)

// stream reads an engine's answer. Pieces are returned as they came: the
// caller matches them to its attempt.
type stream struct {
	addr   string
	body   io.ReadCloser
	cancel context.CancelFunc
	dec    *decoder
	done   bool
}

func newStream(addr string, body io.ReadCloser, cancel context.CancelFunc) *stream {
	return &stream{addr: addr, body: body, cancel: cancel, dec: newDecoder(body)}
}

// Next returns the next piece; io.EOF follows the last one. A stream that ends
// without its last piece is an error.
func (s *stream) Next() (upstream.Chunk, error) {
	if s.done {
		return upstream.Chunk{}, io.EOF
	}
	c, err := s.dec.next()
	if err != nil {
		return upstream.Chunk{}, fail(s.addr, upstream.MaybeRun, err)
	}
	s.done = c.Done
	return c, nil
}

// Ready says that Next will not wait.
func (s *stream) Ready() bool { return s.done || s.dec.ready() }

// Close releases the connection; it does not cancel the attempt. After a whole
// answer the connection goes back to the pool, for which the end of the body
// has to be read; an engine that never sends it costs the connection.
func (s *stream) Close() error {
	if s.done {
		late := time.AfterFunc(drainTime, s.cancel)
		_, _ = io.CopyN(io.Discard, s.body, drainLimit)
		late.Stop()
	}
	err := s.body.Close()
	s.cancel()
	return err
}
