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
	// bufferSize is for several pieces, which are short.
	bufferSize = 2 << 10
	errorEvent = "error"
)

var (
	dataField  = []byte("data:")
	eventField = []byte("event:")
	eventEnd   = []byte("\n\n")

	carriageReturn = []byte("\r")
)

// StreamError is an error that the engine reported within a stream.
type StreamError struct{ Message string }

// Error returns the engine's message.
func (e *StreamError) Error() string { return fmt.Sprintf("engine reported %q", e.Message) }

// decoder reads pieces from server-sent events. An event counts only once the
// empty line that ends it has come, so that a cut event is never a piece.
type decoder struct {
	in     *bufio.Reader
	long   []byte // a line that is longer than the buffer
	data   []byte
	name   string
	pieces pieces
}

func newDecoder(r io.Reader) *decoder {
	return &decoder{in: bufio.NewReaderSize(r, bufferSize)}
}

// ready says that a whole event has come that has not been returned.
func (d *decoder) ready() bool {
	waiting, err := d.in.Peek(d.in.Buffered())
	return err == nil && bytes.Contains(waiting, eventEnd)
}

// line returns the next line without its end. One that the stream's end cuts
// off does not count.
func (d *decoder) line() ([]byte, error) {
	d.long = d.long[:0]
	line, err := d.in.ReadSlice('\n')
	for err == bufio.ErrBufferFull {
		d.long = append(d.long, line...)
		if len(d.long) > maxEvent {
			return nil, bufio.ErrTooLong
		}
		line, err = d.in.ReadSlice('\n')
	}
	if err != nil {
		return nil, err
	}
	if len(d.long) > 0 {
		d.long = append(d.long, line...)
		line = d.long
	}
	return bytes.TrimSuffix(line[:len(line)-1], carriageReturn), nil
}

// next returns the next piece. The stream's end is io.ErrUnexpectedEOF, since
// only a piece with Done ends an answer.
func (d *decoder) next() (upstream.Chunk, error) {
	d.reset()
	for {
		line, err := d.line()
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return upstream.Chunk{}, eris.Wrap(err, "stream")
		}
		if len(line) > 0 {
			d.field(line)
			continue
		}
		if len(d.data) > 0 {
			return d.dispatch()
		}
		d.reset()
	}
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
