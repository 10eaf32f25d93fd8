package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

var errTruncatedEvent = errors.New("stream ended inside an event")
var errEventTooLong = fmt.Errorf("event is longer than %d bytes", maxEventBytes)

// eventReader splits a stream of server-sent events into complete events.
type eventReader struct {
	from    io.Reader
	pending []byte
	buf     [readBufferBytes]byte
}

// next returns the bytes of the events that are complete, the last event ID among them, and
// the number of events. The end of the stream inside an event is an error: the upstream
// broke off.
func (s *eventReader) next() (events []byte, id string, count int, err error) {
	n, err := s.from.Read(s.buf[:])
	s.pending = append(s.pending, s.buf[:n]...)
	end, count := completeEvents(s.pending)
	events = s.pending[:end:end]
	s.pending = s.pending[end:]
	id = lastID(events)
	switch {
	case err == io.EOF && isBlank(s.pending):
		events, s.pending = append(events, s.pending...), nil
	case err == io.EOF:
		err = errTruncatedEvent
	case err == nil && len(s.pending) > maxEventBytes:
		err = errEventTooLong
	}
	return events, id, count, err
}

// isBlank reports whether bytes are empty lines only.
func isBlank(b []byte) bool { return len(bytes.Trim(b, "\r\n")) == 0 }

// completeEvents returns the offset after the last complete event and the number of events.
// An event ends with an empty line. Further empty lines belong to the next event: an upstream may
// send them without end.
func completeEvents(b []byte) (end, count int) {
	line := 0
	empty := true
	for i, c := range b {
		if c != '\n' {
			continue
		}
		text := bytes.TrimSuffix(b[line:i], []byte("\r"))
		if len(text) == 0 {
			if !empty {
				count++
				end = i + 1
			}
			empty = true
		} else {
			empty = false
		}
		line = i + 1
	}
	return end, count
}

// lastID returns the last "id:" field of complete events.
func lastID(events []byte) string {
	id := ""
	for len(events) > 0 {
		line, rest, _ := bytes.Cut(events, []byte("\n"))
		events = rest
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
