package client

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

const (
	// maxEvent bounds one line of a stream, in bytes.
	maxEvent = 1 << 20
	// firstBuffer is the line buffer's size at the start; pieces are short.
	firstBuffer = 1 << 10
	errorEvent  = "error"
)

var (
	dataField  = []byte("data:")
	eventField = []byte("event:")
)

// StreamError is an error that the engine reported within a stream.
type StreamError struct{ Message string }

// Error returns the engine's message.
func (e *StreamError) Error() string { return fmt.Sprintf("engine reported %q", e.Message) }

// decoder reads pieces from server-sent events. An event counts only once the
// empty line that ends it has come, so that a cut event is never a piece.
type decoder struct {
	scan   *bufio.Scanner
	data   []byte
	name   string
	pieces pieces
}

func newDecoder(r io.Reader) *decoder {
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 0, firstBuffer), maxEvent)
	return &decoder{scan: scan}
}

// next returns the next piece. The stream's end is io.ErrUnexpectedEOF, since
// only a piece with Done ends an answer.
func (d *decoder) next() (upstream.Chunk, error) {
	d.reset()
	for d.scan.Scan() {
		line := d.scan.Bytes()
		if len(line) > 0 {
			d.field(line)
			continue
		}
		if len(d.data) > 0 {
			return d.dispatch()
		}
		d.reset()
	}
	if err := d.scan.Err(); err != nil {
		return upstream.Chunk{}, eris.Wrap(err, "stream")
	}
	return upstream.Chunk{}, eris.Wrap(io.ErrUnexpectedEOF, "stream")
}

func (d *decoder) reset() {
	d.data = d.data[:0]
	d.name = ""
}

// field takes one line of an event. Other fields and comments are ignored.
func (d *decoder) field(line []byte) {
	if value, ok := bytes.CutPrefix(line, dataField); ok {
		d.data = append(d.data, bytes.TrimPrefix(value, []byte(" "))...)
		return
	}
	if value, ok := bytes.CutPrefix(line, eventField); ok {
		d.name = string(bytes.TrimSpace(value))
	}
}

func (d *decoder) dispatch() (upstream.Chunk, error) {
	if d.name == errorEvent {
		return upstream.Chunk{}, &StreamError{Message: string(d.data)}
	}
	c, err := d.pieces.parse(d.data)
	if err != nil {
		return upstream.Chunk{}, eris.Wrap(err, "piece")
	}
	return c, nil
}
