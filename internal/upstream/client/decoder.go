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
	// maxEventBytes is the maximum length of one event of a stream with the comments before it,
	// in bytes.
	maxEventBytes = 256 << 10
	// bufferBytes is the size of the read buffer, in bytes. Several chunks fit into it.
	bufferBytes = 2 << 10
	// errorEvent is the name of an event that reports an error.
	errorEvent = "error"
)

var (
	dataField  = []byte("data:")
	eventField = []byte("event:")
	eventEnd   = []byte("\n\n")

	carriageReturn = []byte("\r")
)

var errEventTooLong = eris.Errorf("event is longer than %d bytes", maxEventBytes)

// StreamError is an error that an engine reported within a stream.
type StreamError struct{ Message string }

// Error returns a text with the engine's message.
func (e *StreamError) Error() string { return fmt.Sprintf("engine reported %q", e.Message) }

// decoder decodes chunks from server-sent events. An event is complete only with the
// empty line that ends it, so that a truncated event never becomes a chunk.
type decoder struct {
	reader    *bufio.Reader
	longLine  []byte // a line longer than the buffer
	length    int    // of the event that is being read
	data      []byte
	eventName string
	parser    chunkParser
}

func newDecoder(r io.Reader) *decoder {
	return &decoder{reader: bufio.NewReaderSize(r, bufferBytes)}
}

// ready reports whether the buffer contains a complete event.
func (d *decoder) ready() bool {
	buffered, err := d.reader.Peek(d.reader.Buffered())
	return err == nil && bytes.Contains(buffered, eventEnd)
}

// line returns the next line without its line end. It returns an error if the stream
// ends within the line.
func (d *decoder) line() ([]byte, error) {
	d.longLine = d.longLine[:0]
	line, err := d.reader.ReadSlice('\n')
	d.length += len(line)
	for err == bufio.ErrBufferFull && d.length <= maxEventBytes {
		d.longLine = append(d.longLine, line...)
		line, err = d.reader.ReadSlice('\n')
		d.length += len(line)
	}
	if d.length > maxEventBytes {
		return nil, errEventTooLong
	}
	if err != nil {
		return nil, err
	}
	if len(d.longLine) > 0 {
		d.longLine = append(d.longLine, line...)
		line = d.longLine
	}
	return bytes.TrimSuffix(line[:len(line)-1], carriageReturn), nil
}

// next returns the next chunk. At the end of the stream it returns io.ErrUnexpectedEOF,
// since only a chunk with Done ends an answer.
func (d *decoder) next() (upstream.Chunk, error) {
	d.reset()
	d.length = 0
	for {
		line, err := d.line()
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return upstream.Chunk{}, eris.Wrap(err, "stream")
		}
		if len(line) > 0 {
			d.processField(line)
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
	d.eventName = ""
}

// processField processes one line of an event. Comments and fields other than data and
// event are ignored.
func (d *decoder) processField(line []byte) {
	if value, ok := bytes.CutPrefix(line, dataField); ok {
		d.data = append(d.data, bytes.TrimPrefix(value, []byte(" "))...)
		return
	}
	if value, ok := bytes.CutPrefix(line, eventField); ok {
		d.eventName = string(bytes.TrimSpace(value))
	}
}

// dispatch returns the chunk or the error of a complete event.
func (d *decoder) dispatch() (upstream.Chunk, error) {
	if d.eventName == errorEvent {
		return upstream.Chunk{}, &StreamError{Message: string(d.data)}
	}
	c, err := d.parser.parse(d.data)
	if err != nil {
		return upstream.Chunk{}, eris.Wrap(err, "piece")
	}
	return c, nil
}
